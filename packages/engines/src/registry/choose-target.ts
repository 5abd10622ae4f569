import {
	OUTSTANDING_COST_MS, COLD_COST_MS, FAILURE_COST_MS, OTHER_ZONE_COST_MS, PROMPT_TOKENS_PER_MS,
} from './constants.js';
import {type ExpectedCompletion, getTotalMs} from './expected-completion.js';

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
	/** When the request is expected to be complete there; absent for services whose targets do not report their current speed. */
	readonly completion?: ExpectedCompletion | undefined;
};

/** What a choice was decided by: the part of the cost in which the chosen target is furthest ahead of the next one. */
export type ChoiceBasis = 'only-one' | 'health' | 'speed' | 'slowdown' | 'load' | 'reserve' | 'preference' | 'connection' | 'place';

/** The target of a request or the reason why there is none, with the cold target that would be chosen if this host might send it a request now. */
export type TargetChoice =
	| {readonly kind: 'target'; readonly targetId: string; readonly coldTargetId?: string; readonly basis?: ChoiceBasis}
	/** All suitable targets are full or cold. */
	| {readonly kind: 'full'; readonly coldTargetId?: string}
	/** All suitable targets have asked this host to send nothing for a time. */
	| {readonly kind: 'paused'}
	/** Targets hold the model, but none holds the adapter. */
	| {readonly kind: 'adapter-missing'}
	| {readonly kind: 'none'};

/** A candidate with its cost. */
type Priced = {readonly candidate: TargetCandidate; readonly costMs: number};

/** Cost where nothing is known of the speed of targets. */
function getLoadCostMs({outstanding, failures, isCold, isSameZone, cachedTokens}: TargetCandidate): number {
	return (outstanding * OUTSTANDING_COST_MS) + (failures * FAILURE_COST_MS) + (isCold ? COLD_COST_MS : 0) + (isSameZone ? 0 : OTHER_ZONE_COST_MS) - (cachedTokens / PROMPT_TOKENS_PER_MS);
}

function getHealthCostMs({failures, isCold}: TargetCandidate): number {
	return (failures * FAILURE_COST_MS) + (isCold ? COLD_COST_MS : 0);
}

function getPlaceCostMs({isSameZone}: TargetCandidate): number {
	return isSameZone ? 0 : OTHER_ZONE_COST_MS;
}

function getCostMs(candidate: TargetCandidate): number {
	const {completion} = candidate;
	return completion ? getHealthCostMs(candidate) + getPlaceCostMs(candidate) + getTotalMs(completion) : getLoadCostMs(candidate);
}

/** Whether a candidate is better than one that was found before; among equal ones the first stays. */
function isBetter({candidate, costMs}: Priced, other: Priced | undefined): boolean {
	if (!other) {
		return true;
	}

	return candidate.isSuspected === other.candidate.isSuspected ? costMs < other.costMs : !candidate.isSuspected;
}

/** Returns in which part of the cost the best candidate is furthest ahead of the next one. */
function findBasis({candidate: best}: Priced, next: Priced | undefined): ChoiceBasis {
	if (!next) {
		return 'only-one';
	}

	const other = next.candidate;
	if (best.isSuspected !== other.isSuspected) {
		return 'health';
	}

	const leadsMs: Array<readonly [ChoiceBasis, number]> = [
		['health', getHealthCostMs(other) - getHealthCostMs(best)],
		['place', getPlaceCostMs(other) - getPlaceCostMs(best)],
	];
	if (best.completion && other.completion) {
		leadsMs.push(
			['speed', other.completion.runMs - best.completion.runMs],
			['slowdown', other.completion.slowdownMs - best.completion.slowdownMs],
			['load', other.completion.loadMs - best.completion.loadMs],
			['reserve', other.completion.reserveMs - best.completion.reserveMs],
			['preference', other.completion.preferenceMs - best.completion.preferenceMs],
			['connection', other.completion.connectionMs - best.completion.connectionMs],
		);
	}

	return leadsMs.toSorted(([, first], [, second]) => second - first)[0]![0];
}

/** Chooses the target with the lowest cost in one pass over the candidates: where the request is expected to be complete first or, without known speeds, the least loaded one, unless cached prompt tokens on another save more than its load costs. */
export class TargetChooser {
	private hasCandidates = false;
	private hasAdapter = false;
	private isOpen = false;
	/** Best candidate, and the two best ones of those that this host may send a request now. */
	private first: Priced | undefined;
	private best: Priced | undefined;
	private next: Priced | undefined;

	add(candidate: TargetCandidate): void {
		this.hasCandidates = true;
		this.hasAdapter ||= candidate.hasAdapter;
		this.isOpen ||= candidate.hasAdapter && !candidate.isPaused;
		if (!candidate.hasAdapter || candidate.isPaused || candidate.outstanding >= candidate.slots) {
			return;
		}

		const priced = {candidate, costMs: getCostMs(candidate)};
		this.first = isBetter(priced, this.first) ? priced : this.first;
		if (!candidate.hasColdCapacity) {
			return;
		}

		if (isBetter(priced, this.best)) {
			this.next = this.best;
			this.best = priced;
		} else if (isBetter(priced, this.next)) {
			this.next = priced;
		}
	}

	getChoice(): TargetChoice {
		if (!this.hasCandidates) {
			return {kind: 'none'};
		}

		if (!this.hasAdapter) {
			return {kind: 'adapter-missing'};
		}

		if (!this.isOpen) {
			return {kind: 'paused'};
		}

		const {first, best, next} = this;
		return {
			...(best ? {kind: 'target', targetId: best.candidate.targetId, ...(best.candidate.completion && {basis: findBasis(best, next)})} : {kind: 'full'}),
			...(first && first !== best && {coldTargetId: first.candidate.targetId}),
		};
	}
}

/** Chooses among candidates. */
export function chooseTarget(candidates: readonly TargetCandidate[]): TargetChoice {
	const chooser = new TargetChooser();
	for (const candidate of candidates) {
		chooser.add(candidate);
	}

	return chooser.getChoice();
}
