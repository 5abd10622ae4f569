import {MAX_SOUND_SILENCE_MS} from '@egretrill/common';

/** Time between two registrations of a target that is not silent. */
export const REGISTRATION_PERIOD_MS = 1200;

/** Time by which a registration may arrive late in addition to the silence of its sender. */
export const REGISTRATION_DELAY_MS = 400;

/** Longest time between two registrations of a sound target of which none is lost. */
export const MAX_REGISTRATION_GAP_MS = REGISTRATION_PERIOD_MS + MAX_SOUND_SILENCE_MS + REGISTRATION_DELAY_MS;

/** Time after which a registration expires. Targets register about every second, sometimes seconds late. */
export const REGISTRATION_TTL_MS = 6000;

/** A target that has been silent for longer loses its address to another one that registers with it. */
export const ADDRESS_SILENCE_MS = MAX_REGISTRATION_GAP_MS;

/** A target that lost its address gets it back after registering for two heartbeats, since a single registration may be a delayed one. */
export const ADDRESS_PROOF_MS = 2 * REGISTRATION_PERIOD_MS;

/** Shortest time between two calls of a target in the long run: it calls every 1.2 s, and sooner while control hosts refuse its calls. */
export const MIN_CALL_INTERVAL_MS = 250;

/** Calls that may be missing before a registration in addition to those of the time between, since it may arrive seconds before delayed ones. */
export const MAX_SKIPPED_CALLS = 10;

/** A registration of up to this many calls before the last one is a delayed one; this covers a delay of a minute. */
export const MAX_DELAYED_CALLS = 50;

/** Registrations with sequences out of line count after they have gone on for two heartbeats, and the others have been silent for longer than a sound target is. */
export const SEQUENCE_PROOF_MS = 2 * REGISTRATION_PERIOD_MS;
export const SEQUENCE_SILENCE_MS = MAX_REGISTRATION_GAP_MS;

/** Retention of ended registrations, so that a delayed registration from the same process does not revive one. */
export const ENDED_RETENTION_MS = 60_000;

/** A registration shows the effect of an adapter order only after this time; until then the order's answer overrides the registered models. */
export const MODELS_OVERRIDE_MS = 1500;

/** Lifetime of the reported requests of other hosts; hosts that reach the leader hear of them several times in it. */
export const OTHER_COUNTS_TTL_MS = 3000;

/** Time for which a target ranks last after it failed a request through its own fault. */
export const SUSPECT_MS = 1500;

/** Longest time for which an unreachable target ranks last; its registration expires soon after. */
export const MAX_SUSPECT_MS = 6000;

/** Cost of one recent failure when targets are compared. A target that reports good health may still fail some of its requests. */
export const FAILURE_COST_MS = 60;

/** Time a request loses at a cold target; it is sent there only if the load of the others costs more. */
export const COLD_COST_MS = 200;

/** Time for which a host may send one request to a cold target when its turn comes; longer than the interval at which waiting requests look for a target. */
export const COLD_TURN_MS = 250;

/** Parts of what a cold target bears that hosts send in their turns, which is all that hosts without a leader have, and by grants of the leader. The rest is for turns that coincide by chance. */
export const COLD_TURN_RATIO = 0.45;
export const COLD_GRANT_RATIO = 0.5;

/** Time after a host has learned of a process in which it uses no grants for it, so that the second of the restart holds turns and the sends of hosts that do not know of it yet. */
export const COLD_GRANT_DELAY_MS = 1000;

/** Time for which a granted send may be used, counted from the call for it. */
export const COLD_GRANT_TTL_MS = 200;

/** Time constant of the decay of recent failures. */
export const FAILURE_DECAY_MS = 3000;

/** Share of the recent failures that remains after a successful answer. */
export const SUCCESS_DECAY_RATIO = 0.8;

/** Time for which what a target said in its answers is remembered, and the number of targets for which it is; longer than the longest pause, and than a leaving target keeps running. */
export const NOTICE_TTL_MS = 600_000;
export const MAX_NOTICES = 4096;

/** Number of unreachable targets in a zone from which on all its targets rank last. */
export const SUSPECT_ZONE_MIN_TARGETS = 2;

/** Cost of each outstanding request, which slows down the others in an engine's batch. */
export const OUTSTANDING_COST_MS = 12;

/** Prefill rate of an engine; converts cached prompt tokens to time saved. */
export const PROMPT_TOKENS_PER_MS = 40;

/** Additional time of a request to another zone. */
export const OTHER_ZONE_COST_MS = 3;

/** Maximum number of prompt parts recorded for each target. */
export const MAX_CACHED_PARTS = 4000;

/** Requests queued at a target of a service without engines, for each of its slots; further requests wait at the host. */
export const QUEUED_PER_SLOT = 0.5;

/** Largest number of values in all registrations of a registry: 48 for each target of the largest fleet. A whole update stays below MAX_LIST_VALUES. */
export const MAX_REGISTRY_VALUES = 393_216;

/** Shortest time between two searches of a full registry for targets to drop, which read all of them. */
export const FULL_CHECK_INTERVAL_MS = 250;

/** Number of targets that are dropped at once to make room, since each such change sends all targets to all hosts. */
export const DROPPED_TARGETS = 512;

/** Largest number of targets in a registry and in one update; a fleet has at most a few thousand. Validating this many invalid entries takes a fraction of a second. */
export const MAX_TARGETS = 8192;

/** Range of the speeds of targets relative to their mean. */
export const MIN_SPEED = 0.25;
export const MAX_SPEED = 4;

/** Range of the current slowdown that a target may report; 1 is as usual. */
export const MIN_SLOWDOWN = 0.25;
export const MAX_SLOWDOWN = 4;

/** Age from which on a reported slowdown tells nothing, since it is redrawn, and the time for which a fresh one lasts on average. */
export const SLOWDOWN_TTL_MS = 600;
export const CURRENT_SLOWDOWN_MS = 300;

/** Weight of each report in the mean slowdown of a service. */
export const MEAN_SLOWDOWN_RATIO = 0.02;

/** Events after the first one, and their time, from which on a stream is a measure of speed. */
export const MIN_STREAM_EVENTS = 2;
export const MIN_STREAM_MS = 20;

/** Factor between the mean paces of two classes of models; larger than between models of one class at slow and at fast targets. */
export const MODEL_CLASS_RATIO = 3;

/** Streams that the mean of a model's class counts as. Models of a class differ little, so that a model with few copies says more of their targets than of itself. */
export const PACE_PRIOR_STREAMS = 12;

/** Streams that the mean speed counts as in the speed of a target. */
export const SPEED_PRIOR_STREAMS = 0.7;

/** Passes over all pairs of models and targets that separate paces from speeds. */
export const SPEED_SWEEPS = 4;

/** Largest number of streams that the pace of a model at a target counts as; later streams replace earlier ones. */
export const SPEED_STREAM_LIMIT = 30;

/** Streams from which on the speed of a target counts. */
export const MIN_SPEED_STREAMS = 3;

/** Standard deviation of the logarithm of a single stream's pace, under disturbances of the target. */
export const STREAM_NOISE = 0.34;

/** Spread of the speeds in a service from which on its targets differ, and to which it has to fall until they do not any more. */
export const MIN_SPEED_SPREAD = 0.1;
export const MIN_STILL_SPREAD = 0.06;

/** Models of a target whose paces are kept. */
export const MAX_SPEED_MODELS = 32;

/** Shortest time between two separations of speeds from paces. */
export const SPEED_UPDATE_INTERVAL_MS = 1000;

/** The same at a host, which uses its own observations only for targets that no leader has told it of. */
export const OWN_SPEED_INTERVAL_MS = 10_000;

/** Time after the first report of a new leader until the speeds expire that it has not confirmed; within it, a new leader measures targets in use. */
export const INHERITED_SPEED_MS = 30_000;

/** Streams that the mean of a service counts as in the pace of a model, and the largest number that the latter counts as. */
export const SERVICE_PACE_STREAMS = 2;
export const MODEL_PACE_STREAMS = 20;

/** Models of a service whose paces a host keeps. */
export const MAX_PACE_MODELS = 4096;

/** Models at targets of a service whose streams are kept for the next poll; more are observed only while no leader answers. */
export const MAX_UNREPORTED_PAIRS = 512;

/** Change of a speed that the leader tells the hosts. */
export const MIN_SPEED_CHANGE_RATIO = 0.04;

/** Greatest advantage of a target that a host prefers over one that it does not. */
export const HOST_PREFERENCE_MS = 40;

/** Time that a new connection to a target takes. */
export const CONNECTION_COST_MS = 10;

/** Time constant of the mean of the other hosts' requests at a target; longer than the figures are old, so that hosts do not follow each other from target to target. */
export const LOAD_SMOOTHING_MS = 2000;

/** Cost of a request of this host, and of another one, at a target of mean speed. Only the own ones are known at once; the figures of the others are up to a second old, and the same at all hosts. */
export const OWN_REQUEST_COST_MS = 40;
export const OTHER_REQUEST_COST_MS = 0.5;

/** Part of the slots in use from which on a target does not count as fuller. */
export const MAX_FULLNESS = 1.2;

/** Exponent of the part of slots in use, so that it counts only shortly before a target is full. */
export const FULL_TARGET_EXPONENT = 8;

/** Latency to the first event from which on a caller can bear a slow target, and what the last slots of a fast one cost such a caller. */
export const PATIENT_LATENCY_MS = 5000;
export const RESERVED_SLOT_COST_MS = 1500;

/** Parts of the slots in use at which a target counts as full for the hosts that prefer it least and most. Hosts that left it at the same figure would fill the next one together. */
export const MIN_FULL_RATIO = 0.5;
export const MAX_FULL_RATIO = 1;

/** Exponent of the tokens written since a part was used, relative to the memory for such parts: it is kept until nearly as many have been written, and the figures are estimates. */
export const DISPLACEMENT_EXPONENT = 4;

/** Time constant of the count of sends of a prompt part by this host. */
export const PART_SENDS_MS = 30_000;

/** Recent sends of a part by this host from which on it counts as shared by requests of other hosts; the turns of one session rarely reach the same host. */
export const SHARED_PART_SENDS = 2;

/** Weight of each request in the mean size and run time of a service's requests. */
export const REQUEST_SIZE_RATIO = 0.02;

/** Run time that requests of a service are taken to have until one has been answered. */
export const DEFAULT_RUN_MS = 1000;
