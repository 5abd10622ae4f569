import type {ManualClock} from '@egretrill/common';

type ScheduledEvent = {readonly atMs: number; readonly order: number; readonly run: () => Promise<void> | void};

/** Runs the events of a discrete-event simulation in order of time; events at the same time run in the order in which they were scheduled. */
export class EventQueue {
	private readonly heap: ScheduledEvent[] = [];
	private nextOrder = 0;

	constructor(readonly clock: ManualClock) {}

	/** Schedules an event after a delay. */
	schedule(delayMs: number, run: () => Promise<void> | void): void {
		this.heap.push({atMs: this.clock.now() + delayMs, order: this.nextOrder++, run});
		this.siftUp(this.heap.length - 1);
	}

	/** Runs all events up to a time, including those that are scheduled meanwhile. */
	async runUntil(endMs: number): Promise<void> {
		while (this.heap.length > 0 && this.heap[0]!.atMs <= endMs) {
			const event = this.popFirst();
			this.clock.advance(Math.max(0, event.atMs - this.clock.now()));
			await event.run();
		}
	}

	private popFirst(): ScheduledEvent {
		const first = this.heap[0]!;
		const last = this.heap.pop()!;
		if (this.heap.length > 0) {
			this.heap[0] = last;
			this.siftDown();
		}

		return first;
	}

	private isBefore(first: number, second: number): boolean {
		const [left, right] = [this.heap[first]!, this.heap[second]!];
		return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);
	}

	private swap(first: number, second: number): void {
		[this.heap[first], this.heap[second]] = [this.heap[second]!, this.heap[first]!];
	}

	private siftUp(start: number): void {
		let index = start;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!this.isBefore(index, parent)) {
				return;
			}

			this.swap(index, parent);
			index = parent;
		}
	}

	private siftDown(): void {
		let index = 0;
		for (;;) {
			const left = (2 * index) + 1;
			if (left >= this.heap.length) {
				return;
			}

			const child = left + 1 < this.heap.length && this.isBefore(left + 1, left) ? left + 1 : left;
			if (!this.isBefore(child, index)) {
				return;
			}

			this.swap(index, child);
			index = child;
		}
	}
}
