import {RetryBudget} from '@egretrill/callers';
import type {Clock} from '@egretrill/common';

type RetryLimits = {readonly ratio: number; readonly reserve: number};

/** The retry budgets of an entry host, one for each service. */
export class RetryBudgets {
	private readonly budgets = new Map<string, RetryBudget>();

	constructor(private readonly clock: Clock, private readonly getLimits: () => RetryLimits) {}

	get(service: string): RetryBudget {
		const existing = this.budgets.get(service);
		if (existing) {
			return existing;
		}

		const created = new RetryBudget(this.clock, this.getLimits());
		this.budgets.set(service, created);
		return created;
	}

	/** Applies limits that have changed. */
	updateLimits(): void {
		for (const budget of this.budgets.values()) {
			budget.setLimits(this.getLimits());
		}
	}
}
