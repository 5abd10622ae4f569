import {
	OUTSTANDING_COST_MS, COLD_COST_MS, FAILURE_COST_MS, OTHER_ZONE_COST_MS, PROMPT_TOKENS_PER_MS,
} from './constants.js';

/** What is known of a target when a request is placed. */
export type TargetCandidate = {
	readonly targetId: string;
	readonly isSameZone: boolean;
	readonly isSuspected: boolean;
	/** Failures of late. */
	readonly failures: number;
	readonly hasAdapter: boolean;
	/** Requests of all hosts that the target runs or queues. */
	readonly outstanding: number;
	/** Requests that it takes at the same time. */
	readonly slots: number;
	/** Whether it is slow because it started lately. */
	readonly isCold: boolean;
	/** Whether it may take a request now although it is cold. */
	readonly hasColdCapacity: boolean;
	/** Prompt tokens of this request that it probably keeps. */
	readonly cachedTokens: number;
};

export type TargetChoice =
	| {readonly kind: 'target'; readonly targetId: string}
	/** Targets that could serve are full or cold. */
	| {readonly kind: 'full'}
	/** Targets hold the model but not the adapter. */
	| {readonly kind: 'adapter-missing'}
	| {readonly kind: 'none'};

function getCostMs({outstanding, failures, isCold, isSameZone, cachedTokens}: TargetCandidate): number {
	return (outstanding * OUTSTANDING_COST_MS) + (failures * FAILURE_COST_MS) + (isCold ? COLD_COST_MS : 0) + (isSameZone ? 0 : OTHER_ZONE_COST_MS) - (cachedTokens / PROMPT_TOKENS_PER_MS);
}

function compare(a: TargetCandidate, b: TargetCandidate): number {
	return Number(a.isSuspected) - Number(b.isSuspected) || getCostMs(a) - getCostMs(b);
}

/** Places a request at the least loaded target that can serve it, and with the kept prompt where that saves more than the load costs. */
export function chooseTarget(candidates: readonly TargetCandidate[]): TargetChoice {
	if (candidates.length === 0) {
		return {kind: 'none'};
	}

	const able = candidates.filter(({hasAdapter}) => hasAdapter);
	if (able.length === 0) {
		return {kind: 'adapter-missing'};
	}

	const [best] = able.filter(({outstanding, slots, hasColdCapacity}) => outstanding < slots && hasColdCapacity).toSorted(compare);
	return best ? {kind: 'target', targetId: best.targetId} : {kind: 'full'};
}
