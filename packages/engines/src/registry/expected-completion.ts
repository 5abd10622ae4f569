import {
	CONNECTION_COST_MS, CURRENT_SLOWDOWN_MS, FULL_TARGET_EXPONENT, HOST_PREFERENCE_MS, MAX_FULL_RATIO, MAX_FULLNESS, MIN_FULL_RATIO, OTHER_REQUEST_COST_MS, OWN_REQUEST_COST_MS, PATIENT_LATENCY_MS, PROMPT_TOKENS_PER_MS, RESERVED_SLOT_COST_MS, SLOWDOWN_TTL_MS,
} from './constants.js';

/** Work of a request, at a target of mean speed. */
export type RequestWork = {
	readonly promptTokens: number;
	/** Time for its output. */
	readonly outputMs: number;
	/** Latency that its caller expects of the first event. */
	readonly targetLatencyMs: number;
};

/** What is known of a target that a request may be sent to. */
export type TargetState = {
	/** Long-term speed; 1 is the mean of the service. */
	readonly speed: number;
	/** How much longer than usual work took there, as last reported, and the age of the report. */
	readonly slowdown: number;
	readonly slowdownAgeMs: number;
	/** Requests of this host there, and those of the other hosts on average over the last seconds. */
	readonly ownRequests: number;
	readonly otherRequests: number;
	readonly slots: number;
	readonly cachedTokens: number;
	/** How much this host prefers the target, from 0 to 1. */
	readonly preference: number;
	/** Whether this host has an idle connection to it that the request may use. */
	readonly hasIdleConnection: boolean;
};

/** Parts of the expected time until a request is complete at a target, in milliseconds. */
export type ExpectedCompletion = {
	/** Prefill and output at the long-term speed. */
	readonly runMs: number;
	/** What the current slowdown adds. */
	readonly slowdownMs: number;
	/** What the requests there add: the expected wait for a slot and the slower steps of a larger batch. */
	readonly loadMs: number;
	/** Price of one of the last slots of a fast target, for requests that can bear a slower one. */
	readonly reserveMs: number;
	readonly preferenceMs: number;
	readonly connectionMs: number;
};

/** How full the target is for this host, raised so that it counts only shortly before it is full. Hosts leave a filling target one after the other, those that prefer it most at last. */
function getFullness({ownRequests, otherRequests, slots, preference}: TargetState): number {
	const fullAt = MIN_FULL_RATIO + ((MAX_FULL_RATIO - MIN_FULL_RATIO) * preference);
	return Math.min(MAX_FULLNESS, (ownRequests + otherRequests + 1) / slots / fullAt) ** FULL_TARGET_EXPONENT;
}

/** The current slowdown is redrawn all the time, so it counts for the first part of a run, and less the older the report is. */
function getSlowdownMs({slowdown, slowdownAgeMs}: TargetState, runMs: number): number {
	const freshness = Math.max(0, 1 - (slowdownAgeMs / SLOWDOWN_TTL_MS));
	return (slowdown - 1) * freshness * Math.min(runMs, CURRENT_SLOWDOWN_MS);
}

/** Estimates when a request is complete at a target. */
export function estimateCompletion(work: RequestWork, target: TargetState): ExpectedCompletion {
	const prefillMs = Math.max(0, work.promptTokens - target.cachedTokens) / PROMPT_TOKENS_PER_MS;
	const runMs = (prefillMs + work.outputMs) / target.speed;
	const fullness = getFullness(target);
	const patience = Math.min(1, work.targetLatencyMs / PATIENT_LATENCY_MS);
	return {
		runMs,
		slowdownMs: getSlowdownMs(target, runMs),
		loadMs: (((target.ownRequests * OWN_REQUEST_COST_MS) + (target.otherRequests * OTHER_REQUEST_COST_MS)) / target.speed) + (fullness * runMs),
		reserveMs: target.speed > 1 ? fullness * patience * RESERVED_SLOT_COST_MS : 0,
		preferenceMs: (1 - target.preference) * HOST_PREFERENCE_MS,
		connectionMs: target.hasIdleConnection ? 0 : CONNECTION_COST_MS,
	};
}

/** Sums up the expected time until a request is complete. */
export function getTotalMs({runMs, slowdownMs, loadMs, reserveMs, preferenceMs, connectionMs}: ExpectedCompletion): number {
	return runMs + slowdownMs + loadMs + reserveMs + preferenceMs + connectionMs;
}
