import {LAST_COPY_RATIO, MIN_COPY_AGE_MS} from './constants.js';
import type {Layout} from './layout.js';
import type {LoadMove, PlannedEngine} from './types.js';

/** A copy that could make room for another model. */
export type EvictionCandidate = {
	readonly model: string;
	readonly ageMs: number;
	readonly adapterCount: number;
	readonly need: number;
	readonly isIdle: boolean;
	/** Whether it is the only copy that serves of a model that requests may need. */
	readonly isLast: boolean;
	/** Whether a last copy has a price, so that the gain of another model may outweigh it. */
	readonly isPriced: boolean;
	/** Whether the other copies of the model could not serve its demand at the next peak of the traffic. */
	readonly isReserve: boolean;
	/** Request-seconds that its removal alone is expected to lose. */
	readonly cost: number;
};

/** The model that the evictions free memory for. */
export type IncomingModel = {readonly reason: LoadMove['reason']; readonly lostSlots: number};

/** Whether a copy may be evicted. The last copy of a model in use is evicted only for a model that needs many times its slots; a load in advance evicts no reserve. */
export function mayEvict({
	ageMs, need, isIdle, isLast, isPriced, isReserve,
}: EvictionCandidate, {reason, lostSlots}: IncomingModel): boolean {
	if (reason === 'absent' && isReserve) {
		return false;
	}

	if (isIdle) {
		return !isLast || reason === 'missing' || (reason === 'crowded' && isPriced);
	}

	const isOutweighed = reason === 'missing' && need * LAST_COPY_RATIO <= lostSlots;
	return ageMs >= MIN_COPY_AGE_MS && (!isLast || isOutweighed);
}

/** The copies of each engine in ascending order of the cost of evicting them. */
export class EvictionCandidates {
	private readonly byEngine = new Map<string, readonly EvictionCandidate[]>();

	constructor(private readonly layout: Layout) {}

	/** Copies of an engine in the order in which they are evicted. */
	get(engine: PlannedEngine): readonly EvictionCandidate[] {
		const known = this.byEngine.get(engine.targetId);
		if (known) {
			return known;
		}

		const candidates = this.describe(engine);
		this.byEngine.set(engine.targetId, candidates);
		return candidates;
	}

	/** Drops the ranking of each engine that holds what a planned move changes; the costs of the others hardly change. */
	applyMove({targetId, unload, load}: Pick<LoadMove, 'targetId' | 'unload' | 'load'>): void {
		const changed = new Set([...unload, load]);
		for (const [id, candidates] of this.byEngine) {
			if (id === targetId || candidates.some(({model}) => changed.has(model))) {
				this.byEngine.delete(id);
			}
		}
	}

	private describe({targetId, copies}: PlannedEngine): readonly EvictionCandidate[] {
		const {layout} = this;
		const unchangedCost = layout.getUnchangedCost();
		return copies
			.map(({model, ageMs, adapterCount}) => ({
				candidate: {
					model,
					ageMs,
					adapterCount,
					need: layout.getNeededSlots(model),
					isIdle: layout.isIdle(model),
					isLast: layout.countReadyCopies(model) <= 1 && layout.isConfigured(model),
					isPriced: layout.isUneven,
					isReserve: layout.isReserve(targetId, model),
					cost: layout.getRemovalCost(targetId, [model]) - unchangedCost + layout.getAbsenceCost(targetId, model),
				},
				copies: layout.countCopies(model),
			}))
			.toSorted((a, b) => a.candidate.cost - b.candidate.cost || a.candidate.need - b.candidate.need || b.copies - a.copies)
			.map(({candidate}) => candidate);
	}
}
