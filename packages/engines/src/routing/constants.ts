/** Longest period for which a zone that returns to service gets less than its full share of new work. */
export const ZONE_RETURN_RAMP_MS = 10_000;

/** A report may describe the load of one announcement period before it was sent. */
export const REPORT_LAG_MS = 500;

/**
 * A target heard of through another host takes no new work when that word is older. A leaving target tells the hosts
 * of its zone within one announcement period and must get nothing after 2,000 ms, so later word than this names the leave.
 */
export const RELAYED_TTL_MS = 1500;

/** Bounds the weight of one own request while this host has few in flight. */
export const MAX_FLEET_FACTOR = 4;

/** The first exclusion after a failed connect; each further failure doubles it. */
export const SUSPICION_MIN_MS = 500;
/** Short enough that a repaired link is used again within seconds. */
export const SUSPICION_MAX_MS = 4000;

/** Start ids remembered per target, so that a late report of an earlier start is recognised. */
export const MAX_RETIRED_STARTS = 8;
/** Removals remembered for delta digests; a reader further behind gets the full directory. */
export const MAX_TOMBSTONES = 256;
/** Loads are published in steps of a sixteenth of the limit, so that small changes cost no bytes. */
export const LOAD_STEPS = 16;
/** Targets that a zone summary names for spill-over; covers a whole zone at today's sizes. */
export const MAX_SUMMARY_TARGETS = 16;
export const MAX_SUMMARY_MODELS = 1024;

/** A target with this many times its limit outstanding takes no further request. */
export const FULL_LOAD_RATIO = 2;
export const BUSY_RETRY_MS = 250;
export const NO_TARGET_RETRY_MS = 1000;
/** Candidates named in the log line of one choice. */
export const MAX_LOGGED_SCORES = 8;

/** Time for which a mean request holds its slot; scales the expected queue to milliseconds. */
export const MEAN_REQUEST_MS = 1000;
/** Prefill cost of one prompt character on an idle engine (about 4 characters a token, 10,000 tokens/s). */
export const PREFILL_MS_PER_CHAR = 0.025;
/** Slowdown of the first token when every slot of the batch is in use. */
export const BATCH_SLOWDOWN_MS = 100;
/** An adapter load of at most 10 ms, with the order that has to pass the zone owner first. */
export const ADAPTER_LOAD_MS = 50;
/** Keeps cold targets from being preferred while a warm copy has a short queue. */
export const COLD_PENALTY_MS = 250;
/** Engines in a pure prefill or decode role serve whole requests only when mixed ones are loaded. */
export const ROLE_PENALTY_MS = 200;
/** Above this use of cache memory engines preempt running requests. */
export const KV_PRESSURE_RATIO = 0.9;
export const KV_PRESSURE_MS = 500;
/** Cost difference up to which two candidates count as equal: one to two slots of a 16-slot engine; wider draws load the best target again before the others were used. */
export const TIE_MARGIN_MS = 10;

/** Last turns that round-robin routing remembers, over all models. */
export const MAX_ROUND_ROBIN_ENTRIES = 8192;

export const BLOCK_CHARS = 64;
/** Bounds the hashing of one long prompt; longer common prefixes add nothing to the ranking. */
export const MAX_PROMPT_BLOCKS = 512;
export const CACHED_BLOCK_HALF_LIFE_MS = 60_000;
/** Bounds the whole belief to about 10 MB. */
export const MAX_CACHED_BLOCKS = 65_536;
export const MAX_CACHED_BLOCKS_PER_TARGET = 4096;
export const MAX_TRACKED_TARGETS = 512;
export const EVICTION_BATCH_BLOCKS = 64;
/** Part of the trust that remains for each cache event missing in a gap. */
export const CONFIDENCE_PER_MISSING_EVENT = 0.9;
/** Trust lost to one gap is bounded, because most blocks survive even a long one. */
export const MIN_CONFIDENCE_AFTER_GAP = 0.1;
/** Belief below which a block counts as absent. */
export const MIN_CACHED_PROBABILITY = 0.1;

/** A permit that is not renewed for this long counts as held by a dead host. */
export const PERMIT_TTL_MS = 2000;
export const PERMIT_RENEW_MS = 500;
export const PERMIT_RETRY_MS = 100;
/** A permit is used at once or not at all, so that a report sampled later counts its request. */
export const PERMIT_WRITE_MS = 500;
/** Ramps of targets that have not been observed for this long are forgotten. */
export const RAMP_IDLE_MS = 60_000;
/** A reported limit below this part of the highest one of the same start means a cold target. */
export const COLD_LIMIT_RATIO = 0.5;

/** First-token times that set the usual latency of a target. */
export const LATENCY_BASELINE_SAMPLES = 8;
/** Consecutive slow or failed requests after which a target counts as cold. */
export const COLD_DETECTION_SAMPLES = 3;
export const COLD_LATENCY_RATIO = 4;
/** Latencies below this are never taken for a cold start. */
export const MIN_COLD_LATENCY_MS = 500;
