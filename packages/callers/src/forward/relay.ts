import type {Clock} from '@egretrill/common';
import type {CallerExchange} from './caller-exchange.js';
import {MAX_EVENT_BYTES, MAX_BUFFERED_ANSWER_BYTES, STREAM_IDLE_TIMEOUT_MS} from './constants.js';
import {EventSplitter} from './event-splitter.js';
import type {TargetAnswer} from './forward-dependencies.js';
import {GrowableBuffer} from './growable-buffer.js';

/** Whether the caller has the whole answer; after `broken` it has all whole events up to `lastEventId`. */
export type RelayEnd = {
	readonly kind: 'complete' | 'broken';
	/** Bytes of the body that were passed on. */
	readonly bytes: number;
	readonly lastEventId?: number;
	/** Why it is broken, if it did not just end early. */
	readonly reason?: string;
};

type RelayOptions = {
	readonly exchange: CallerExchange;
	readonly answer: TargetAnswer;
	readonly headers: readonly string[];
	/** Told of each piece that is passed on. */
	readonly onChunk?: () => void;
};

/** Reads a body whole; what is too long to be held is told piece by piece, beginning with all that was held. */
async function readBody(answer: TargetAnswer, onOverflow: (bytes: Uint8Array) => Promise<void>): Promise<Uint8Array | undefined> {
	const body = new GrowableBuffer();
	for await (const chunk of answer.body) {
		if (body.length > MAX_BUFFERED_ANSWER_BYTES) {
			await onOverflow(chunk);
			continue;
		}

		body.append(chunk);
		if (body.length > MAX_BUFFERED_ANSWER_BYTES) {
			await onOverflow(body.getBytes());
		}
	}

	return body.length > MAX_BUFFERED_ANSWER_BYTES ? undefined : body.getBytes();
}

/** Passes on an answer once it is whole; a longer one is passed on as it arrives. */
export async function relayBuffered({exchange, answer, headers}: RelayOptions): Promise<RelayEnd> {
	let bytes = 0;
	try {
		const body = await readBody(answer, async piece => {
			if (!exchange.hasStarted()) {
				exchange.start(answer.status, headers);
			}

			await exchange.write(piece);
			bytes += piece.length;
		});
		if (!answer.isComplete()) {
			return {kind: 'broken', bytes};
		}

		if (body) {
			// The length of a body that is not sent is known to the target alone.
			exchange.start(answer.status, headers, answer.framing === 'none' ? undefined : body.length);
			await exchange.write(body);
			bytes = body.length;
		}

		exchange.end();
		return {kind: 'complete', bytes};
	} catch {
		// The body ends with an error when the target or this host breaks the connection off.
		return {kind: 'broken', bytes};
	}
}

/** Closes an answer that has been silent for too long; one task watches one stream. */
class StreamIdleTimer {
	private readonly stopper = new AbortController();
	private lastMs: number;

	constructor(private readonly clock: Clock, private readonly answer: TargetAnswer) {
		this.lastMs = clock.now();
	}

	reset(): void {
		this.lastMs = this.clock.now();
	}

	stop(): void {
		this.stopper.abort();
	}

	async run(): Promise<void> {
		while (!this.stopper.signal.aborted) {
			const leftMs = this.lastMs + STREAM_IDLE_TIMEOUT_MS - this.clock.now();
			if (leftMs <= 0) {
				this.answer.destroy();
				return;
			}

			await this.clock.sleep(leftMs, this.stopper.signal);
		}
	}
}

/** Passes on the whole events of a stream as they arrive. */
export async function relayEvents({exchange, answer, headers, onChunk}: RelayOptions, lastEventId: number | undefined, watch?: {readonly clock: Clock}): Promise<RelayEnd> {
	const splitter = new EventSplitter();
	const skipUpTo = lastEventId;
	const idleTimer = watch && new StreamIdleTimer(watch.clock, answer);
	let last = lastEventId;
	let bytes = 0;
	try {
		for await (const chunk of answer.body) {
			const heldBytes = splitter.getIncompleteEvent().length;
			const events = splitter.push(chunk, skipUpTo);
			if (splitter.getIncompleteEvent().length > MAX_EVENT_BYTES) {
				return {
					kind: 'broken', bytes, lastEventId: last, reason: `An event is longer than ${MAX_EVENT_BYTES} bytes.`,
				};
			}

			if (events.bytes.length > 0) {
				if (!exchange.hasStarted()) {
					exchange.start(answer.status, headers);
					void idleTimer?.run();
				}

				last = events.lastEventId ?? last;
				onChunk?.();
				await exchange.write(events.bytes);
				bytes += events.bytes.length;
			}

			if (splitter.getIncompleteEvent().length < heldBytes + chunk.length) {
				// An event ended; the bytes of one that does not end reach nobody.
				idleTimer?.reset();
			}
		}
	} catch {
		// The body ends with an error when the target or this host breaks the connection off.
		return {kind: 'broken', bytes, lastEventId: last};
	} finally {
		idleTimer?.stop();
	}

	if (!answer.isComplete() || splitter.getIncompleteEvent().length > 0 || !exchange.hasStarted()) {
		return {kind: 'broken', bytes, lastEventId: last};
	}

	exchange.end();
	return {kind: 'complete', bytes, lastEventId: last};
}
