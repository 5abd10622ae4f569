import {
	refuse, Signal, type Clock, type Priority, type Verdict,
} from '@egretrill/common';
import {Result} from 'true-myth';
import {BATCH_SLOT_INTERVAL, MAX_QUEUE_LENGTH} from './limits/constants.js';
import {StartTimeQueue} from './start-time-queue.js';

export type SlotRequest = {
	readonly customer: string;
	readonly weight: number;
	readonly priority: Priority;
	/** Estimated engine tokens of the request. */
	readonly cost: number;
	readonly deadlineMs: number;
	readonly signal?: AbortSignal;
};

/** Permission to run one request; released when the request has ended. */
export type Slot = {
	/** Releases the slot and corrects the customer's charged cost by the actual cost. Repeated calls have no effect. */
	readonly release: (actualCost?: number) => void;
};

type WaitingRequest = SlotRequest & {readonly wake: Signal; outcome?: Result<Slot, Verdict>};

export type FairQueueOpts = {readonly clock: Clock; readonly slots: number; readonly maxLength?: number};

/** Assigns a variable number of slots fairly among customers, interactive requests before batch requests. */
export class FairQueue {
	private readonly queues: Readonly<Record<Priority, StartTimeQueue<WaitingRequest>>> = {interactive: new StartTimeQueue(), batch: new StartTimeQueue()};
	private slots: number;
	private readonly used: Record<Priority, number> = {interactive: 0, batch: 0};
	private dispatchesSinceBatch = 0;

	constructor(private readonly opts: FairQueueOpts) {
		this.slots = opts.slots;
	}

	/** Number of waiting requests. */
	get length(): number {
		return this.queues.interactive.length + this.queues.batch.length;
	}

	/** Sets how many requests may run at once; running requests keep their slots. */
	setSlots(slots: number): void {
		this.slots = slots;
		this.dispatch();
	}

	/** Waits for a slot until the deadline. */
	async acquire(req: SlotRequest): Promise<Result<Slot, Verdict>> {
		const waiting: WaitingRequest = {...req, wake: new Signal()};
		if (req.signal?.aborted) {
			return Result.err(refuseCancelled());
		}

		this.queues[req.priority].push(waiting);
		this.dispatch();
		this.dropOverflow();
		if (!waiting.outcome) {
			await waiting.wake.wait(this.opts.clock, req.deadlineMs - this.opts.clock.now(), req.signal);
		}

		if (waiting.outcome) {
			return waiting.outcome;
		}

		this.queues[req.priority].remove(waiting);
		return Result.err(req.signal?.aborted ? refuseCancelled() : refuse(503, 'queue-deadline', 'No engine slot became free before the deadline of the request.', 1000));
	}

	private dispatch(): void {
		while (this.used.interactive + this.used.batch < this.slots) {
			const waiting = this.shiftNext();
			if (!waiting) {
				return;
			}

			this.used[waiting.priority] += 1;
			waiting.outcome = Result.ok(this.createSlot(waiting));
			waiting.wake.notify();
		}
	}

	private shiftNext(): WaitingRequest | undefined {
		const {interactive, batch} = this.queues;
		if (batch.length === 0) {
			// Counts only dispatches made while a batch request was waiting.
			this.dispatchesSinceBatch = 0;
			return interactive.shift();
		}

		if (interactive.length === 0 || this.isBatchDue()) {
			this.dispatchesSinceBatch = 0;
			return batch.shift();
		}

		this.dispatchesSinceBatch += 1;
		return interactive.shift();
	}

	/** Batch requests are due one slot in 8; with fewer than 8 slots, one dispatch in 8. */
	private isBatchDue(): boolean {
		const batchSlots = Math.floor(this.slots / BATCH_SLOT_INTERVAL);
		return batchSlots > 0 ? this.used.batch < batchSlots : this.dispatchesSinceBatch >= BATCH_SLOT_INTERVAL - 1;
	}

	/** Refuses the newest requests of the customer with the largest backlog, so that one customer cannot fill the queue for the others. */
	private dropOverflow(): void {
		const maxLength = this.opts.maxLength ?? MAX_QUEUE_LENGTH;
		while (this.length > maxLength) {
			const priority: Priority = this.queues.batch.length > 0 && this.queues.batch.length >= this.queues.interactive.length ? 'batch' : 'interactive';
			const newest = this.queues[priority].getNewestOfLargestBacklog();
			if (!newest) {
				return;
			}

			this.queues[priority].remove(newest);
			newest.outcome = Result.err(refuse(503, 'queue-full', `The queue holds its limit of ${maxLength} requests, and customer ${newest.customer} has the most work in it.`, 1000));
			newest.wake.notify();
		}
	}

	private createSlot(waiting: WaitingRequest): Slot {
		let isReleased = false;
		return {
			release: (actualCost = waiting.cost) => {
				if (isReleased) {
					return;
				}

				isReleased = true;
				this.used[waiting.priority] -= 1;
				this.queues[waiting.priority].correctCost(waiting, actualCost);
				this.dispatch();
			},
		};
	}
}

function refuseCancelled(): Verdict {
	return refuse(499, 'cancelled', 'The caller went away while the request was waiting.');
}
