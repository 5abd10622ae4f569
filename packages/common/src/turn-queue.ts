/** Bytes that a task handles before it lets other work of the event loop go on; of the smallest events these are two thousand. */
export const TURN_BYTES = 8192;

/** Shares the event loop among tasks with much work at once: each turn of the loop resumes the one that has waited longest. */
export class TurnQueue {
	private readonly waiting: Array<() => void> = [];

	/** Resolves in a later turn of the event loop, after the tasks that wait already. */
	async wait(): Promise<void> {
		return new Promise(resolve => {
			this.waiting.push(resolve);
			if (this.waiting.length === 1) {
				this.schedule();
			}
		});
	}

	private schedule(): void {
		setImmediate(() => {
			this.waiting.shift()?.();
			if (this.waiting.length > 0) {
				this.schedule();
			}
		});
	}
}

/** Counts the bytes that one task has handled since its last wait. */
export class TurnShare {
	private bytes = 0;

	constructor(private readonly turns: TurnQueue) {}

	/** Counts bytes as handled. Returns a wait for a further turn once these are more than a turn's, and nothing otherwise, so that most calls cost no promise. */
	spend(bytes: number): Promise<void> | undefined {
		this.bytes += bytes;
		if (this.bytes < TURN_BYTES) {
			return undefined;
		}

		this.bytes = 0;
		return this.turns.wait();
	}
}

/** Yields a chunk in parts that can be handled in one turn each. */
export function * splitForTurns(chunk: Uint8Array): Generator<Uint8Array, void> {
	for (let offset = 0; offset < chunk.length; offset += TURN_BYTES) {
		yield chunk.subarray(offset, offset + TURN_BYTES);
	}
}
