import type {Clock} from '@egretrill/common';
import {PlanSchedule} from './plan-schedule.js';
import {RecentMoves} from './recent-moves.js';
import {StoreBudget} from './store-budget.js';
import {StoreStarts} from './store-starts.js';

/** State that the plans of one service share. */
export class PlannedService {
	readonly store = new StoreBudget();
	readonly storeStarts: StoreStarts;
	readonly recentMoves = new RecentMoves();
	readonly schedule = new PlanSchedule();
	/** Models that the last plan had no time for. */
	deferred: readonly string[] = [];

	constructor(clock: Clock) {
		this.storeStarts = new StoreStarts(clock);
	}
}
