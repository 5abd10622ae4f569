import type {Clock, Verdict} from '@egretrill/common';
import type {Result} from 'true-myth';
import {SLOT_UPDATE_INTERVAL_MS} from './constants.js';
import {type SlotRequest, FairQueue, type Slot} from './fair-queue.js';

type ModelQueue = {readonly queue: FairQueue; running: number; waiting: number};

export type QueueSetOptions = {
	readonly clock: Clock;
	/** Number of requests that the targets of a model can accept in addition to those running. */
	readonly getFreeSlots: (model: string) => number;
};

/** A fair queue for each model, so that requests for a busy model do not delay the others. */
export class QueueSet {
	private readonly queues = new Map<string, ModelQueue>();

	constructor(private readonly opts: QueueSetOptions) {}

	async acquire(model: string, req: SlotRequest): Promise<Result<Slot, Verdict>> {
		const entry = this.getQueue(model);
		entry.waiting += 1;
		const acquired = await entry.queue.acquire(req);
		entry.waiting -= 1;
		return acquired.map(slot => this.trackSlot(entry, slot));
	}

	/** Number of waiting requests of all models. */
	getWaitingCount(): number {
		return [...this.queues.values()].reduce((sum, {waiting}) => sum + waiting, 0);
	}

	/** Number of waiting requests by model; placement plans use it as demand. */
	getWaitingByModel(): ReadonlyMap<string, number> {
		return new Map([...this.queues].map(([model, {waiting}]) => [model, waiting]));
	}

	/** Keeps the number of slots up to date with the targets until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			for (const [model, entry] of this.queues) {
				if (entry.running + entry.waiting === 0) {
					// Fairness covers one busy period of a model; an idle queue holds no state that the next period needs.
					this.queues.delete(model);
				} else {
					this.updateSlots(model, entry);
				}
			}

			await this.opts.clock.sleep(SLOT_UPDATE_INTERVAL_MS, signal);
		}
	}

	private getQueue(model: string): ModelQueue {
		const known = this.queues.get(model);
		if (known) {
			return known;
		}

		const entry = {queue: new FairQueue({clock: this.opts.clock, slots: 0}), running: 0, waiting: 0};
		this.queues.set(model, entry);
		this.updateSlots(model, entry);
		return entry;
	}

	private updateSlots(model: string, entry: ModelQueue): void {
		// One request is always let through: choosing a target waits for capacity itself and refuses with the specific reason.
		entry.queue.setSlots(Math.max(1, entry.running + this.opts.getFreeSlots(model)));
	}

	private trackSlot(entry: ModelQueue, slot: Slot): Slot {
		entry.running += 1;
		let isReleased = false;
		return {
			release(actualCost) {
				if (!isReleased) {
					isReleased = true;
					entry.running -= 1;
				}

				slot.release(actualCost);
			},
		};
	}
}
