import type {MemoryBudget, MemoryHolding} from '@egretrill/common';
import {Result} from 'true-myth';
import type {CallerExchange} from './caller-exchange.js';
import type {RequestHead} from './forward-dialect.js';
import {GrowableBuffer} from './streams/growable-buffer.js';

/** Why a body was not read to its end; `incomplete` if the caller disconnected or the reading was ended. */
export type BodyFailure = 'too-large' | 'no-room' | 'incomplete';

/** Length that the head of a request declares for its body. */
function getDeclaredLength({rawHeaders}: RequestHead): number | undefined {
	const index = rawHeaders.findIndex((name, i) => i % 2 === 0 && name.toLowerCase() === 'content-length');
	return index === -1 ? undefined : Number(rawHeaders[index + 1]);
}

/** The body of a caller's request, which counts against the memory budget of the host until it is released. */
export class HeldBody {
	private readonly holding: MemoryHolding;
	private buffer: GrowableBuffer | undefined;
	private failure: BodyFailure = 'incomplete';
	private endReading: (() => void) | undefined;

	constructor(private readonly memory: MemoryBudget) {
		this.holding = memory.open({
			onEvicted: () => {
				this.fail('no-room');
			},
		});
	}

	/** Reads the complete body, unless it is too long, finds no room, or the signal aborts before. */
	async read(exchange: CallerExchange, maxBytes: number, ended: AbortSignal): Promise<Result<Uint8Array, BodyFailure>> {
		const declaredBytes = getDeclaredLength(exchange.head) ?? 0;
		if (declaredBytes > maxBytes) {
			return Result.err('too-large');
		}

		if (!this.memory.hasRoom(declaredBytes)) {
			return Result.err('no-room');
		}

		this.buffer = new GrowableBuffer(this.holding, declaredBytes || maxBytes);
		const isWhole = await this.readUntil(exchange, maxBytes, ended);
		if (!isWhole || !this.buffer) {
			this.release();
			return Result.err(this.failure);
		}

		this.holding.complete();
		return Result.ok(this.buffer.getBytes());
	}

	/** Stops counting the body, which is no longer needed. */
	release(): void {
		this.buffer = undefined;
		this.holding.release();
	}

	/** Resolves with false as soon as the signal aborts or the reading fails, although the exchange may still be waiting for the caller. */
	private async readUntil(exchange: CallerExchange, maxBytes: number, ended: AbortSignal): Promise<boolean> {
		let endReading = (): void => undefined;
		const end = new Promise<false>(resolve => {
			endReading = () => {
				resolve(false);
			};
		});
		this.endReading = endReading;
		ended.addEventListener('abort', endReading, {once: true});
		try {
			return await Promise.race([exchange.readBody(chunk => this.append(chunk, maxBytes)), end]);
		} finally {
			ended.removeEventListener('abort', endReading);
		}
	}

	private append(chunk: Uint8Array, maxBytes: number): boolean {
		if (!this.buffer) {
			return false;
		}

		if (this.buffer.length + chunk.length > maxBytes) {
			this.fail('too-large');
		} else if (!this.buffer.append(chunk)) {
			this.fail('no-room');
		}

		return this.buffer !== undefined;
	}

	private fail(failure: BodyFailure): void {
		this.failure = failure;
		this.release();
		this.endReading?.();
	}
}
