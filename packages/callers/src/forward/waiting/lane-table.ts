import type {BacklogEntry} from './queue-report.js';
import type {OwnBacklog} from './slot-share.js';
import type {Lane, Waiter} from './waiter.js';
import {compareRanked, WaitingLane} from './waiting-lanes.js';

/** All waiting requests of a host, by requirements and kind, and by model. */
export class LaneTable {
	private readonly lanes = new Set<Lane>();
	private readonly byModel = new Map<string, Set<Lane>>();
	private count = 0;

	get size(): number {
		return this.count;
	}

	hasModel(queueKey: string): boolean {
		return this.byModel.has(queueKey);
	}

	getOfModel(queueKey: string): Iterable<Lane> {
		return this.byModel.get(queueKey) ?? [];
	}

	add(waiter: Waiter): void {
		let lane = this.findLane(waiter);
		if (!lane) {
			lane = new WaitingLane(waiter.requirementsKey, waiter.found);
			this.lanes.add(lane);
			const ofModel = this.byModel.get(waiter.queueKey) ?? new Set();
			this.byModel.set(waiter.queueKey, ofModel.add(lane));
		}

		lane.add(waiter);
		waiter.lane = lane;
		this.count += 1;
	}

	/** Removes a request; returns whether it was waiting. */
	remove(waiter: Waiter): boolean {
		const {lane} = waiter;
		if (!lane) {
			return false;
		}

		lane.remove(waiter);
		waiter.lane = undefined;
		this.count -= 1;
		if (lane.size === 0) {
			this.removeLane(waiter, lane);
		}

		return true;
	}

	/** The first requests of all lanes. */
	listHeads(): readonly Waiter[] {
		return [...this.lanes].flatMap(({head}) => head ?? []);
	}

	listWaiters(): readonly Waiter[] {
		return [...this.lanes].flatMap(lane => lane.list());
	}

	listBacklog(): readonly BacklogEntry[] {
		return [...this.lanes].flatMap(lane => lane.list().map(({requirements, queueKey, kind}) => ({
			requirements, queueKey, kind, reason: lane.lastFound.kind,
		})));
	}

	/** The waiting requests of each model in order, with what the last search for them found. */
	listByModel(): ReadonlyArray<readonly Waiter[]> {
		return [...this.byModel.values()].map(lanes => {
			const waiters = [...lanes].flatMap(lane => lane.list().map(waiter => Object.assign(waiter, {found: lane.lastFound})));
			return waiters.toSorted(compareRanked);
		});
	}

	/** A lane with the same requirements whose first request goes before one that arrives. */
	findEarlier(waiter: Waiter): Lane | undefined {
		for (const lane of this.getOfModel(waiter.queueKey)) {
			if (lane.requirementsKey === waiter.requirementsKey && lane.head && compareRanked(lane.head, waiter) < 0) {
				return lane;
			}
		}

		return undefined;
	}

	/** Number of waiting requests for the same model that go before one that arrives. */
	countAhead(waiter: Waiter): number {
		let ahead = 0;
		for (const lane of this.getOfModel(waiter.queueKey)) {
			ahead += lane.countBefore(waiter);
		}

		return ahead;
	}

	/** Requests for the same model that are of a request's kind, with itself, and more urgent ones. */
	countOwn({queueKey, kind, lane}: Waiter): OwnBacklog {
		let equal = lane ? 0 : 1;
		let urgent = 0;
		for (const {head, size} of this.getOfModel(queueKey)) {
			if (head?.kind === kind) {
				equal += size;
			} else if (head && head.kind.priority < kind.priority) {
				urgent += size;
			}
		}

		return {equal, urgent};
	}

	private findLane({queueKey, requirementsKey, kind}: Waiter): Lane | undefined {
		for (const lane of this.getOfModel(queueKey)) {
			if (lane.requirementsKey === requirementsKey && lane.head?.kind === kind) {
				return lane;
			}
		}

		return undefined;
	}

	private removeLane({queueKey}: Waiter, lane: Lane): void {
		this.lanes.delete(lane);
		const ofModel = this.byModel.get(queueKey);
		ofModel?.delete(lane);
		if (ofModel?.size === 0) {
			this.byModel.delete(queueKey);
		}
	}
}
