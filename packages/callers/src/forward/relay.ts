import type {Clock} from '@egretrill/common';
import type {CallerExchange} from './caller-exchange.js';
import {MAX_BUFFERED_ANSWER_BYTES, MAX_EVENT_BYTES, STREAM_IDLE_TIMEOUT_MS} from './constants.js';
import type {EventOrder} from './event-order.js';
import {EventSplitter} from './event-splitter.js';
import type {TargetAnswer} from './forward-dependencies.js';
import {GrowableBuffer} from './growable-buffer.js';

/** Whether the caller received the complete answer; after `broken` it has all complete events up to `lastEventId`. */
export type RelayResult = {
	readonly kind: 'complete' | 'broken';
	/** Number of body bytes relayed. */
	readonly bytes: number;
	readonly lastEventId?: number;
	/** Why the answer is broken, unless it merely ended early. */
	readonly reason?: string;
};

type RelayOptions = {
	readonly exchange: CallerExchange;
	readonly answer: TargetAnswer;
	readonly headers: readonly string[];
	/** Called for each chunk that is relayed. */
	readonly onChunk?: () => void;
};

/** Buffers a complete body; once it exceeds the limit, passes first the buffered bytes and then each chunk to `onOverflow`, and returns undefined. */
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

/** Relays an answer once it is complete; an answer that exceeds the buffer limit is relayed as it arrives. */
export async function relayBuffered({exchange, answer, headers}: RelayOptions): Promise<RelayResult> {
	let bytes = 0;
	try {
		const body = await readBody(answer, async chunk => {
			if (!exchange.hasStarted()) {
				exchange.start(answer.status, headers);
			}

			await exchange.write(chunk);
			bytes += chunk.length;
		});
		if (!answer.isComplete()) {
			return {kind: 'broken', bytes};
		}

		if (body) {
			// Only the target knows the length of a body that it does not send, as for HEAD.
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

/** Closes a streamed answer that has been idle for too long; each stream has its own task. */
class StreamIdleTimer {
	/** Whether the answer was closed because it was idle. */
	hasExpired = false;
	private readonly stopping = new AbortController();
	private lastMs: number;

	constructor(private readonly clock: Clock, private readonly answer: TargetAnswer) {
		this.lastMs = clock.now();
	}

	reset(): void {
		this.lastMs = this.clock.now();
	}

	stop(): void {
		this.stopping.abort();
	}

	async run(): Promise<void> {
		while (!this.stopping.signal.aborted) {
			const remainingMs = this.lastMs + STREAM_IDLE_TIMEOUT_MS - this.clock.now();
			if (remainingMs <= 0) {
				this.hasExpired = true;
				this.answer.destroy();
				return;
			}

			await this.clock.sleep(remainingMs, this.stopping.signal);
		}
	}
}

/** Relays the complete events of a stream as they arrive, as long as they follow those that the caller has. */
export async function relayEvents({exchange, answer, headers, onChunk}: RelayOptions, order: EventOrder, idleOptions?: {readonly clock: Clock}): Promise<RelayResult> {
	const splitter = new EventSplitter();
	const idleTimer = idleOptions && new StreamIdleTimer(idleOptions.clock, answer);
	let bytes = 0;
	const getBroken = (reason?: string): RelayResult => ({
		kind: 'broken', bytes, lastEventId: order.lastEventId, ...(reason !== undefined && {reason}),
	});
	order.beginAnswer();
	try {
		for await (const chunk of answer.body) {
			const previousBytes = splitter.getIncompleteEvent().length;
			const events = splitter.push(chunk, order);
			if (splitter.getIncompleteEvent().length > MAX_EVENT_BYTES) {
				return getBroken(`An event is longer than ${MAX_EVENT_BYTES} bytes.`);
			}

			if (events.bytes.length > 0) {
				if (!exchange.hasStarted()) {
					exchange.start(answer.status, headers);
					void idleTimer?.run();
				}

				onChunk?.();
				await exchange.write(events.bytes);
				bytes += events.bytes.length;
			}

			if (events.fault !== undefined) {
				return getBroken(events.fault);
			}

			if (splitter.getIncompleteEvent().length < previousBytes + chunk.length) {
				// Only a completed event resets the timer; bytes of an incomplete event do not reach the caller.
				idleTimer?.reset();
			}
		}
	} catch {
		// The body ends with an error when the target or this host breaks the connection off.
		return getBroken(idleTimer?.hasExpired ? `The target completed no event for ${STREAM_IDLE_TIMEOUT_MS} ms.` : undefined);
	} finally {
		idleTimer?.stop();
	}

	if (!answer.isComplete() || splitter.getIncompleteEvent().length > 0 || !exchange.hasStarted()) {
		return getBroken();
	}

	if (!order.mayEnd()) {
		return getBroken(`The answer ended before it continued the stream after event ${order.lastEventId}.`);
	}

	exchange.end();
	return {kind: 'complete', bytes, lastEventId: order.lastEventId};
}
