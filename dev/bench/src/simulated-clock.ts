import {setImmediate as flush} from 'node:timers/promises';
import {Clock} from '@egretrill/common';

type Sleeper = {readonly wakeAtMs: number; readonly order: number; readonly wake: () => void; isAborted: boolean};

/** A clock that jumps from one due sleeper to the next, so that a run takes no real waiting time. */
export class SimulatedClock extends Clock {
	private currentMs = 0;
	private nextOrder = 0;
	/** Binary heap by wake time, then by order of sleeping. */
	private readonly heap: Sleeper[] = [];

	now(): number {
		return this.currentMs;
	}

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const sleeper: Sleeper = {
				wakeAtMs: this.currentMs + Math.max(0, ms), order: this.nextOrder++, wake: resolve, isAborted: false,
			};
			this.push(sleeper);
			signal?.addEventListener('abort', () => {
				sleeper.isAborted = true;
				resolve();
			}, {once: true});
		});
	}

	/** Runs every task up to the given time. */
	async runUntil(endMs: number): Promise<void> {
		await flush();
		for (let next = this.heap[0]; next && next.wakeAtMs <= endMs; next = this.heap[0]) {
			this.shift();
			if (!next.isAborted) {
				this.currentMs = next.wakeAtMs;
				next.wake();
				await flush();
			}
		}

		this.currentMs = endMs;
	}

	private push(sleeper: Sleeper): void {
		const {heap} = this;
		let i = heap.length;
		heap.push(sleeper);
		while (i > 0) {
			const parent = Math.floor((i - 1) / 2);
			if (isEarlier(heap[parent]!, sleeper)) {
				break;
			}

			heap[i] = heap[parent]!;
			i = parent;
		}

		heap[i] = sleeper;
	}

	private shift(): void {
		const {heap} = this;
		const last = heap.pop();
		if (!last || heap.length === 0) {
			return;
		}

		let i = 0;
		for (;;) {
			const left = (2 * i) + 1;
			const right = left + 1;
			const child = right < heap.length && isEarlier(heap[right]!, heap[left]!) ? right : left;
			if (child >= heap.length || isEarlier(last, heap[child]!)) {
				break;
			}

			heap[i] = heap[child]!;
			i = child;
		}

		heap[i] = last;
	}
}

function isEarlier(a: Sleeper, b: Sleeper): boolean {
	return a.wakeAtMs < b.wakeAtMs || (a.wakeAtMs === b.wakeAtMs && a.order < b.order);
}
