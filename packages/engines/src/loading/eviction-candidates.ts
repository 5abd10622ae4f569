import {LAST_COPY_RATIO, MIN_COPY_AGE_MS} from './constants.js';
import type {Layout} from './layout.js';
import type {LoadMove, PlannedEngine} from './types.js';

/** A copy that could be evicted to free memory for another model. */
export type EvictionCandidate = {
	readonly model: string;
	readonly ageMs: number;
	readonly adapterCount: number;
	readonly neededSlots: number;
	readonly isIdle: boolean;
	readonly isLastCopy: boolean;
	/** Request-seconds lost if only this copy is evicted. */
	readonly removalCost: number;
};

/** The model that the evictions free memory for. */
export type IncomingModel = {readonly reason: LoadMove['reason']; readonly lostSlots: number};

/** Whether a copy may be evicted. The last copy of a model in use is evicted only for a model that needs many times its slots. */
export function mayEvict({ageMs, neededSlots, isIdle, isLastCopy}: EvictionCandidate, {reason, lostSlots}: IncomingModel): boolean {
	if (isIdle) {
		return !isLastCopy || reason === 'missing';
	}

	const isOutweighed = reason === 'missing' && neededSlots * LAST_COPY_RATIO <= lostSlots;
	return ageMs >= MIN_COPY_AGE_MS && (!isLastCopy || isOutweighed);
}

/** The copies of each engine in ascending order of the cost of evicting them. */
export class EvictionCandidates {
	private readonly byEngine = new Map<string, readonly EvictionCandidate[]>();

	constructor(private readonly layout: Layout) {}

	/** Copies of an engine in the order in which they are evicted. */
	get(engine: PlannedEngine): readonly EvictionCandidate[] {
		const cached = this.byEngine.get(engine.targetId);
		if (cached) {
			return cached;
		}

		const candidates = this.rankCopies(engine);
		this.byEngine.set(engine.targetId, candidates);
		return candidates;
	}

	/** Drops the cached ranking of the engines that hold a model which a planned move changes; the costs of the others hardly change. */
	applyMove({targetId, unload, load}: Pick<LoadMove, 'targetId' | 'unload' | 'load'>): void {
		const changed = new Set([...unload, load]);
		for (const [id, candidates] of this.byEngine) {
			if (id === targetId || candidates.some(({model}) => changed.has(model))) {
				this.byEngine.delete(id);
			}
		}
	}

	private rankCopies({targetId, copies}: PlannedEngine): readonly EvictionCandidate[] {
		const {layout} = this;
		const unchangedCost = layout.getUnchangedCost();
		return copies
			.map(({model, ageMs, adapterCount}) => ({
				candidate: {
					model,
					ageMs,
					adapterCount,
					neededSlots: layout.getNeededSlots(model),
					isIdle: layout.isIdle(model),
					isLastCopy: layout.countCopies(model) <= 1,
					removalCost: layout.getRemovalCost(targetId, [model]) - unchangedCost,
				},
				copies: layout.countCopies(model),
			}))
			.toSorted((a, b) => a.candidate.removalCost - b.candidate.removalCost || a.candidate.neededSlots - b.candidate.neededSlots || b.copies - a.copies)
			.map(({candidate}) => candidate);
	}
}
