import {
	OUTSTANDING_COST_MS, COLD_COST_MS, FAILURE_COST_MS, OTHER_ZONE_COST_MS, PROMPT_TOKENS_PER_MS,
} from './constants.js';

/** State of a target when a request is assigned to it. */
export type TargetCandidate = {
	readonly targetId: string;
	readonly isSameZone: boolean;
	readonly isSuspected: boolean;
	/** Recent failures, decayed over time. */
	readonly failures: number;
	readonly hasAdapter: boolean;
	/** Requests from all hosts that the target runs or queues. */
	readonly outstanding: number;
	/** Maximum number of outstanding requests. */
	readonly slots: number;
	/** Whether it is still slow after a recent start. */
	readonly isCold: boolean;
	/** Whether this host may send it a request now; limited while it is cold. */
	readonly hasColdCapacity: boolean;
	/** Whether it has asked this host to send nothing for a time. */
	readonly isPaused: boolean;
	/** Estimated prompt tokens of this request in its cache. */
	readonly cachedTokens: number;
};

/** The target of a request or the reason why there is none, with the cold target that would be chosen if this host might send it a request now. */
export type TargetChoice =
	| {readonly kind: 'target'; readonly targetId: string; readonly coldTargetId?: string}
	/** All suitable targets are full or cold. */
	| {readonly kind: 'full'; readonly coldTargetId?: string}
	/** All suitable targets have asked this host to send nothing for a time. */
	| {readonly kind: 'paused'}
	/** Targets hold the model, but none holds the adapter. */
	| {readonly kind: 'adapter-missing'}
	| {readonly kind: 'none'};

function getCostMs({outstanding, failures, isCold, isSameZone, cachedTokens}: TargetCandidate): number {
	return (outstanding * OUTSTANDING_COST_MS) + (failures * FAILURE_COST_MS) + (isCold ? COLD_COST_MS : 0) + (isSameZone ? 0 : OTHER_ZONE_COST_MS) - (cachedTokens / PROMPT_TOKENS_PER_MS);
}

function compareTargets(a: TargetCandidate, b: TargetCandidate): number {
	return Number(a.isSuspected) - Number(b.isSuspected) || getCostMs(a) - getCostMs(b);
}

/** Chooses the target with the lowest cost: the least loaded one, unless cached prompt tokens on another save more than its load costs. */
export function chooseTarget(candidates: readonly TargetCandidate[]): TargetChoice {
	if (candidates.length === 0) {
		return {kind: 'none'};
	}

	const withAdapter = candidates.filter(({hasAdapter}) => hasAdapter);
	if (withAdapter.length === 0) {
		return {kind: 'adapter-missing'};
	}

	const open = withAdapter.filter(({isPaused}) => !isPaused);
	if (open.length === 0) {
		return {kind: 'paused'};
	}

	const free = open.filter(({outstanding, slots}) => outstanding < slots).toSorted(compareTargets);
	const best = free.find(({hasColdCapacity}) => hasColdCapacity);
	const coldTargetId = free[0] === best ? undefined : free[0]?.targetId;
	return {
		...(best ? {kind: 'target', targetId: best.targetId} : {kind: 'full'}),
		...(coldTargetId !== undefined && {coldTargetId}),
	};
}
