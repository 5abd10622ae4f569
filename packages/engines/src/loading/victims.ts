import {LAST_COPY_RATIO, MIN_COPY_AGE_MS} from './constants.js';
import type {Layout} from './layout.js';
import type {LoadMove, PlannedEngine} from './types.js';

/** A copy that could make room for another model. */
export type Victim = {
	readonly model: string;
	readonly ageMs: number;
	readonly adapterCount: number;
	readonly need: number;
	readonly isIdle: boolean;
	readonly isLast: boolean;
	/** Request-seconds lost by its removal alone. */
	readonly cost: number;
};

/** The model that room is made for. */
export type RoomWant = {readonly reason: LoadMove['reason']; readonly lost: number};

/** Whether a copy may go. The last copy of a model in use goes only for one that needs many times its places. */
export function mayRemove({ageMs, need, isIdle, isLast}: Victim, {reason, lost}: RoomWant): boolean {
	if (isIdle) {
		return !isLast || reason === 'missing';
	}

	const isOutweighed = reason === 'missing' && need * LAST_COPY_RATIO <= lost;
	return ageMs >= MIN_COPY_AGE_MS && (!isLast || isOutweighed);
}

/** The copies of each engine, those first whose removal costs least. */
export class Victims {
	private readonly byEngine = new Map<string, readonly Victim[]>();

	constructor(private readonly layout: Layout) {}

	/** Copies of an engine in the order in which they go. */
	get(engine: PlannedEngine): readonly Victim[] {
		const known = this.byEngine.get(engine.targetId);
		if (known) {
			return known;
		}

		const victims = this.describe(engine);
		this.byEngine.set(engine.targetId, victims);
		return victims;
	}

	/** Looks anew at the engines that hold what a planned move changes; the costs of the others hardly change. */
	noteMove({targetId, unload, load}: Pick<LoadMove, 'targetId' | 'unload' | 'load'>): void {
		const changed = new Set([...unload, load]);
		for (const [id, victims] of this.byEngine) {
			if (id === targetId || victims.some(({model}) => changed.has(model))) {
				this.byEngine.delete(id);
			}
		}
	}

	private describe({targetId, copies}: PlannedEngine): readonly Victim[] {
		const {layout} = this;
		const idleCost = layout.getIdleCost();
		return copies
			.map(({model, ageMs, adapterCount}) => ({
				victim: {
					model,
					ageMs,
					adapterCount,
					need: layout.getNeed(model),
					isIdle: layout.isIdle(model),
					isLast: layout.countCopies(model) <= 1,
					cost: layout.getRemovalCost(targetId, [model]) - idleCost,
				},
				copies: layout.countCopies(model),
			}))
			.toSorted((a, b) => a.victim.cost - b.victim.cost || a.victim.need - b.victim.need || b.copies - a.copies)
			.map(({victim}) => victim);
	}
}
