import type {MemoryHolding, TargetAnswer} from '@egretrill/common';
import type {CallerExchange} from './caller-exchange.js';
import {MAX_BUFFERED_ANSWER_BYTES, MAX_EVENT_BYTES} from './constants.js';
import type {EventOrder} from './event-order.js';
import {EventSplitter} from './event-splitter.js';
import {GrowableBuffer} from './growable-buffer.js';
import type {Silence} from './silence.js';

/** Whether the caller received the complete answer. */
export type RelayResult = {
	readonly kind: 'complete' | 'broken';
	/** Number of body bytes relayed. */
	readonly bytes: number;
	/** Why the answer is broken, unless it merely ended early. */
	readonly reason?: string;
};

type RelayOptions = {
	readonly exchange: CallerExchange;
	/** Counts the bytes that are held before they can be relayed. */
	readonly holding: MemoryHolding;
	readonly answer: TargetAnswer;
	readonly headers: readonly string[];
	/** Called for each chunk of events before it is relayed, with the id of the last of them that has one. */
	readonly onChunk?: (lastEventId: number | undefined) => void;
};

/** Takes the bytes of a long answer that has begun. */
type Overflow = (bytes: Uint8Array) => Promise<void>;

/** Buffers a complete body; once it exceeds the limit or finds no room, passes first the buffered bytes and then each chunk to `onOverflow`, and returns undefined. */
async function readBody(answer: TargetAnswer, holding: MemoryHolding, onOverflow: Overflow): Promise<Uint8Array | undefined> {
	let body: GrowableBuffer | undefined = new GrowableBuffer(holding, MAX_BUFFERED_ANSWER_BYTES);
	for await (const chunk of answer.body) {
		if (body && body.length + chunk.length <= MAX_BUFFERED_ANSWER_BYTES && body.append(chunk)) {
			continue;
		}

		if (body) {
			const flushed = flush(body, holding, onOverflow);
			// The buffer of an answer that is relayed as it arrives is not used again.
			body = undefined;
			await flushed;
		}

		await onOverflow(chunk);
	}

	return body?.getBytes();
}

/** Passes on what is buffered, which from then on counts as unread by the caller. */
async function flush(body: GrowableBuffer, holding: MemoryHolding, onOverflow: Overflow): Promise<void> {
	holding.release();
	await onOverflow(body.getBytes());
}

/** Relays an answer once it is complete; an answer that exceeds the buffer limit is relayed as it arrives. */
export async function relayBuffered({exchange, holding, answer, headers}: RelayOptions): Promise<RelayResult> {
	let bytes = 0;
	try {
		const body = await readBody(answer, holding, async chunk => {
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
			holding.release();
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

/** A stream that may be continued by another target; its events that arrive after that are not relayed. */
export type MovableStream = {readonly silence: Silence; readonly hasMoved: () => boolean};

/** Relays the complete events of a stream as they arrive, as long as they follow those that the caller has. */
export async function relayEvents({exchange, holding, answer, headers, onChunk}: RelayOptions, order: EventOrder, movable?: MovableStream): Promise<RelayResult> {
	const splitter = new EventSplitter(holding);
	let bytes = 0;
	const getBroken = (reason?: string): RelayResult => ({kind: 'broken', bytes, ...(reason !== undefined && {reason})});
	order.beginAnswer();
	try {
		for await (const chunk of answer.body) {
			if (movable?.hasMoved()) {
				break;
			}

			const previousBytes = splitter.getIncompleteEvent().length;
			const events = splitter.push(chunk, order);
			if (splitter.getIncompleteEvent().length > MAX_EVENT_BYTES) {
				return getBroken(`An event is longer than ${MAX_EVENT_BYTES} bytes.`);
			}

			if (splitter.getIncompleteEvent().length < previousBytes + chunk.length) {
				// Bytes of an incomplete event do not reach the caller, so they do not end the silence.
				movable?.silence.recordEvent();
			}

			if (events.bytes.length > 0) {
				if (!exchange.hasStarted()) {
					exchange.start(answer.status, headers);
				}

				onChunk?.(order.lastEventId);
				movable?.silence.suspend();
				await exchange.write(events.bytes);
				movable?.silence.resume();
				bytes += events.bytes.length;
			}

			if (events.fault !== undefined) {
				return getBroken(events.fault);
			}
		}
	} catch {
		// The body ends with an error when the target or this host breaks the connection off.
		return getBroken();
	}

	const isIncomplete = !answer.isComplete() || splitter.getIncompleteEvent().length > 0 || !exchange.hasStarted();
	if (isIncomplete || movable?.hasMoved()) {
		return getBroken();
	}

	const endFault = order.findEndFault();
	if (endFault !== undefined) {
		return getBroken(endFault);
	}

	exchange.end();
	return {kind: 'complete', bytes};
}
