import type {HeldModel} from '@egretrill/common';
import {applyStep} from './held-models.js';
import type {EngineReport, LoadOrderOutcome, LoadStep} from './types.js';

/**
 * What the leader knows of one engine: the models that it holds and the number of orders that it has accepted. Both belong together, so that an engine which
 * holds more than the account shows refuses the order.
 */
export class EngineAccount {
	private models: readonly HeldModel[] | undefined;
	private orderCount: number | undefined;
	/** Number of orders that the engine has certainly accepted; a report with a lower number predates the last order. */
	private minOrderCount = 0;
	/** Whether the engine executed an order when it last reported. */
	private isBusy = false;

	/** What the engine holds according to its last report and the orders since; undefined until it has reported this while it executed no order. */
	getModels(): readonly HeldModel[] | undefined {
		return this.models;
	}

	/** The number of orders to name in the next one; undefined until a report tells it. */
	getOrderCount(): number | undefined {
		return this.orderCount;
	}

	/** Whether the account is known and has a model. */
	holdsModel(model: string): boolean {
		return this.models?.some(({name}) => name === model) ?? false;
	}

	/** Records the answer to an order; the effect of the step is applied when it is complete. */
	recordAnswer(answer: LoadOrderOutcome, {kind}: LoadStep, expectedOrderCount: number): void {
		const wasAccepted = answer === 'begun' || (answer === 'done' && kind === 'unload-adapter');
		this.orderCount = wasAccepted ? expectedOrderCount + 1 : undefined;
		if (answer === 'begun') {
			// An engine may not count an order that is done at once because there was nothing to do.
			this.minOrderCount = expectedOrderCount + 1;
		}
	}

	/** Applies a complete step. */
	apply(step: LoadStep): void {
		this.models &&= applyStep(this.models, step);
	}

	/** Takes over a report unless it predates an accepted order; returns whether what the engine holds is known by it. */
	applyReport({models, isBusy, orderCount}: EngineReport): boolean {
		if (orderCount < this.minOrderCount) {
			return false;
		}

		this.minOrderCount = orderCount;
		this.isBusy = isBusy;
		if (isBusy) {
			this.forget();
			return false;
		}

		this.models = models;
		this.orderCount = orderCount;
		return true;
	}

	/** Whether the engine, by its last report, executes the one order that it has accepted since the named count. */
	isExecutingNext(orderCount: number): boolean {
		return this.isBusy && this.minOrderCount === orderCount + 1;
	}

	/** No order is sent until the engine has reported what it holds. */
	forget(): void {
		this.models = undefined;
		this.orderCount = undefined;
	}
}
