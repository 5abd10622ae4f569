import type {Socket} from 'node:net';
import process from 'node:process';
import type {MemoryBudget, MemoryHolding} from './memory-budget.js';

/** Further requests of a connection are not read while this many wait behind the one that is served. */
const MAX_WAITING_REQUESTS = 16;

/** What a waiting request counts; more than the 3 kB that it takes, since it lies in the heap, of which there is less than of memory for buffers. */
const WAITING_REQUEST_BYTES = 16_384;

/** The requests of a connection that wait behind the one that is served. */
export class WaitingRequests {
	private count = 0;
	private isPausing = false;
	private readonly holding: MemoryHolding | undefined;

	/** Closes the connection if its requests must give way in the memory budget. */
	constructor(private readonly socket: Socket, memory: MemoryBudget | undefined) {
		this.holding = memory?.open({
			onEvicted() {
				socket.destroy();
			},
		});
		socket.once('close', () => {
			this.holding?.release();
		});
	}

	/** Counts a request; those that arrived together with it are not held back, which is why they count in memory. */
	add(): void {
		this.count += 1;
		this.holding?.add(WAITING_REQUEST_BYTES);
		if (this.count >= MAX_WAITING_REQUESTS && !this.isPausing) {
			this.isPausing = true;
			// Node's parser goes on reading after each request of what has arrived, so a pause holds only after the last of them.
			process.nextTick(() => {
				this.pause();
			});
		}
	}

	remove(): void {
		this.count -= 1;
		this.holding?.shrink(WAITING_REQUEST_BYTES);
		if (this.count < MAX_WAITING_REQUESTS && this.socket.isPaused()) {
			this.socket.resume();
		}
	}

	private pause(): void {
		this.isPausing = false;
		if (this.count >= MAX_WAITING_REQUESTS) {
			this.socket.pause();
		}
	}
}
