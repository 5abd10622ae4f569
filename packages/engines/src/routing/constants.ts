/** Time over which the share of new requests to a zone returning to service grows to its full share. */
export const ZONE_RETURN_RAMP_MS = 10_000;

/** Maximum age of the load in a report when it is sent: one announcement period. */
export const REPORT_LAG_MS = 500;

/**
 * A target known only through another host gets no new requests when that information is older. A leaving target
 * notifies the hosts of its zone within one announcement period and must receive nothing after 2,000 ms, so newer
 * information includes the leave.
 */
export const RELAYED_TTL_MS = 1500;

/** Limits the weight of one own request while this host has few in flight. */
export const MAX_FLEET_FACTOR = 4;

/** Exclusion after the first failed connect; each further failure doubles it. */
export const SUSPICION_MIN_MS = 500;
/** Longest exclusion; short enough that a repaired link is used again within seconds. */
export const SUSPICION_MAX_MS = 4000;

/** Earlier start ids kept per target, so that a delayed report of an earlier start is recognised. */
export const MAX_PREVIOUS_STARTS = 8;
/** Removals kept for delta digests; a reader that is further behind gets the full directory. */
export const MAX_TOMBSTONES = 256;
/** Loads are published in steps of a sixteenth of the limit, so that small changes cost no bytes. */
export const LOAD_STEPS = 16;
/** Targets listed in a zone summary for spill-over; covers a whole zone at current sizes. */
export const MAX_SUMMARY_TARGETS = 16;
export const MAX_SUMMARY_MODELS = 1024;

/** Outstanding requests relative to the limit at which a target counts as full. */
export const FULL_LOAD_RATIO = 2;
export const BUSY_RETRY_MS = 250;
export const NO_TARGET_RETRY_MS = 1000;
/** Candidates included in the log line of one choice. */
export const MAX_LOGGED_SCORES = 8;

/** Mean time for which a request occupies its slot; converts the expected queue to milliseconds. */
export const MEAN_REQUEST_MS = 1000;
/** Prefill cost of one prompt character on an idle engine (about 4 characters a token, 10,000 tokens/s). */
export const PREFILL_MS_PER_CHAR = 0.025;
/** Slowdown of the first token when every slot of the batch is in use. */
export const BATCH_SLOWDOWN_MS = 100;
/** Cost of loading an adapter: at most 10 ms for the load, plus the order that the zone owner must issue first. */
export const ADAPTER_LOAD_MS = 50;
/** Prevents cold targets from being preferred while a warm copy has a short queue. */
export const COLD_PENALTY_MS = 250;
/** Engines with a dedicated prefill or decode role get whole requests only when mixed ones are loaded. */
export const ROLE_PENALTY_MS = 200;
/** KV cache usage above which engines preempt running requests. */
export const KV_PRESSURE_RATIO = 0.9;
export const KV_PRESSURE_MS = 500;
/** Cost difference below which two candidates count as equal: one to two slots of a 16-slot engine. A larger margin would load the best target again before the others were used. */
export const TIE_MARGIN_MS = 10;

/** Candidates for which round-robin routing stores the last turn, over all models. */
export const MAX_ROUND_ROBIN_ENTRIES = 8192;

export const BLOCK_CHARS = 64;
/** Limits the hashing of a long prompt; longer common prefixes do not change the ranking. */
export const MAX_PROMPT_BLOCKS = 512;
export const CACHED_BLOCK_HALF_LIFE_MS = 60_000;
/** Limits the memory of the estimate to about 10 MB. */
export const MAX_CACHED_BLOCKS = 65_536;
export const MAX_CACHED_BLOCKS_PER_TARGET = 4096;
export const MAX_TRACKED_TARGETS = 512;
export const EVICTION_BATCH_BLOCKS = 64;
/** Share of the confidence that remains for each missing cache event. */
export const CONFIDENCE_PER_MISSING_EVENT = 0.9;
/** Lower bound of the confidence after one gap in the events, because most blocks stay cached even during a long one. */
export const MIN_CONFIDENCE_AFTER_GAP = 0.1;
/** Probability below which a block counts as not cached. */
export const MIN_CACHED_PROBABILITY = 0.1;

/** Time without renewal after which the holder of a permit counts as dead. */
export const PERMIT_TTL_MS = 2000;
export const PERMIT_RENEW_MS = 500;
export const PERMIT_RETRY_MS = 100;
/** Time within which a permit must be used after it was requested, so that any report sampled later includes its request. */
export const PERMIT_WRITE_MS = 500;
/** Time without reports after which the ramp of a target is removed. */
export const RAMP_IDLE_MS = 60_000;
/** A reported limit below this share of the highest limit of the same start indicates a cold target. */
export const COLD_LIMIT_RATIO = 0.5;

/** Times to first token that establish the baseline latency of a target. */
export const LATENCY_BASELINE_SAMPLES = 8;
/** Consecutive slow or failed requests after which a target counts as cold. */
export const COLD_DETECTION_SAMPLES = 3;
export const COLD_LATENCY_RATIO = 4;
/** Latencies below this never indicate a cold target. */
export const MIN_COLD_LATENCY_MS = 500;
