/** A target that has not registered for this long is used no more; targets register about every second, at times seconds late. */
export const REGISTRATION_TTL_MS = 6000;

/** A registration that has ended is remembered this long, so that a late one of the same lifetime does not bring it back. */
export const ENDED_RETENTION_MS = 60_000;

/** An adapter order shows in a registration sent this long after it; until then the order's answer is believed. */
export const MODELS_OVERRIDE_MS = 1500;

/** A target that failed a request for a reason of its own is chosen after all others for this long. */
export const SUSPECT_MS = 1500;

/** The longest time for which an unreachable target is chosen after all others; its registration ends soon after. */
export const MAX_SUSPECT_MS = 6000;

/** What a recent failure of a target counts for when targets are weighed; a target whose health is good may still fail a part of its requests. */
export const FAILURE_COST_MS = 60;

/** What a request loses at a cold target; it goes there when the others carry that much more. */
export const COLD_COST_MS = 200;

/** Time constant with which failures are forgotten, and what a good answer leaves of them. */
export const FAILURE_DECAY_MS = 3000;
export const SUCCESS_DECAY_RATIO = 0.8;

/** Unreachable targets of one zone from which on all its targets are chosen after the others. */
export const SUSPECT_ZONE_MIN_TARGETS = 2;

/** Work that one more running request adds for the others of an engine's batch, to weigh engines against each other. */
export const OUTSTANDING_COST_MS = 12;

/** Prompt tokens that an engine reads in a millisecond, to weigh kept prompts against load. */
export const PROMPT_TOKENS_PER_MS = 40;

/** Time that a request to another zone costs beyond one within the zone. */
export const OTHER_ZONE_COST_MS = 3;

/** Prompt parts remembered for each target. */
export const MAX_CACHED_PARTS = 4000;

/** Requests that a service without a batch may hold beyond its slots before callers wait at the host. */
export const QUEUED_PER_SLOT = 0.5;
