import {type Clock, DecayingCounts} from '@egretrill/common';
import {FLEET_SLOT_TIME_CONSTANT_MS, MAX_MODEL_KINDS} from '../constants.js';
import type {RequestKind} from './fleet-shortage.js';

/** Counts below this have decayed; they are forgotten. */
const MIN_COUNT = 0.01;

/** Key of a kind among those of its model. */
export function getKindKey({priority, targetLatencyMs}: RequestKind): string {
	return `${priority} ${targetLatencyMs}`;
}

/** Recent arrivals on all hosts, by model and kind. */
export class KindArrivals {
	private readonly kinds = new Map<string, Map<string, RequestKind>>();
	private readonly counts: DecayingCounts;

	constructor(clock: Clock) {
		this.counts = new DecayingCounts(clock, FLEET_SLOT_TIME_CONSTANT_MS);
	}

	/** Adds arrivals; kinds beyond the maximum of a model are left out. */
	add(queueKey: string, kind: RequestKind, count: number): void {
		const ofModel = this.kinds.get(queueKey) ?? new Map<string, RequestKind>();
		const kindKey = getKindKey(kind);
		if (count <= 0 || (!ofModel.has(kindKey) && ofModel.size >= MAX_MODEL_KINDS)) {
			return;
		}

		this.kinds.set(queueKey, ofModel.set(kindKey, kind));
		this.counts.add(`${queueKey}\n${kindKey}`, count);
	}

	/** Number of recent arrivals of a kind. */
	get(queueKey: string, kindKey: string): number {
		return this.counts.get(`${queueKey}\n${kindKey}`);
	}

	/** The kinds of a model that have arrived recently. */
	list(queueKey: string): Iterable<readonly [kindKey: string, kind: RequestKind]> {
		return this.kinds.get(queueKey) ?? [];
	}

	/** Forgets the kinds and models whose counts have decayed. */
	removeDecayed(): void {
		this.counts.removeBelow(MIN_COUNT);
		for (const [queueKey, ofModel] of this.kinds) {
			for (const kindKey of ofModel.keys()) {
				if (this.get(queueKey, kindKey) === 0) {
					ofModel.delete(kindKey);
				}
			}

			if (ofModel.size === 0) {
				this.kinds.delete(queueKey);
			}
		}
	}
}
