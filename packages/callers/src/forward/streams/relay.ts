import {
	type MemoryHolding, splitForTurns, type TargetAnswer, type TurnQueue, TurnShare,
} from '@egretrill/common';
import type {CallerExchange} from '../caller-exchange.js';
import {MAX_BUFFERED_ANSWER_BYTES, MAX_EVENT_BYTES} from '../constants.js';
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
	/** Bounds how much of the answer is handled in one turn of the event loop. */
	readonly turns: TurnQueue;
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

/** A stream that is being relayed. */
class EventRelay {
	bytes = 0;
	private readonly splitter: EventSplitter;
	private readonly share: TurnShare;

	constructor(private readonly opts: RelayOptions, private readonly order: EventOrder, private readonly movable: MovableStream | undefined) {
		this.splitter = new EventSplitter(opts.holding);
		this.share = new TurnShare(opts.turns);
	}

	/** Relays the events that a part of the answer completes; returns why the answer must not be used further. */
	async relayPart(part: Uint8Array): Promise<string | undefined> {
		const previousBytes = this.splitter.getIncompleteEvent().length;
		const events = this.splitter.push(part, this.order);
		if (this.hasIncompleteEvent(MAX_EVENT_BYTES)) {
			return `An event is longer than ${MAX_EVENT_BYTES} bytes.`;
		}

		if (events.hasProgress) {
			// Bytes of an incomplete event do not reach the caller, so they do not end the silence.
			this.movable?.silence.recordEvent();
		}

		if (events.bytes.length > 0) {
			const {silence} = this.movable ?? {};
			silence?.suspend();
			const written = this.write(events.bytes);
			if (written) {
				await written;
			}

			silence?.resume();
			this.bytes += events.bytes.length;
		}

		// The bytes of an incomplete event take next to no time; those of complete ones may be thousands of events.
		const turn = this.share.spend(previousBytes + part.length - this.splitter.getIncompleteEvent().length);
		if (turn) {
			await turn;
		}

		return events.fault;
	}

	/** Whether the event that is not complete yet has more than `bytes`. */
	hasIncompleteEvent(bytes = 0): boolean {
		return this.splitter.getIncompleteEvent().length > bytes;
	}

	private write(bytes: Uint8Array): Promise<void> | undefined {
		const {exchange, answer, headers, onChunk} = this.opts;
		if (!exchange.hasStarted()) {
			exchange.start(answer.status, headers);
		}

		onChunk?.(this.order.lastEventId);
		return exchange.write(bytes);
	}
}

/** Relays the complete events of a stream as they arrive, as long as they follow those that the caller has. */
export async function relayEvents(opts: RelayOptions, order: EventOrder, movable?: MovableStream): Promise<RelayResult> {
	const {exchange, answer} = opts;
	const relay = new EventRelay(opts, order, movable);
	const getBroken = (reason?: string): RelayResult => ({kind: 'broken', bytes: relay.bytes, ...(reason !== undefined && {reason})});
	order.beginAnswer();
	try {
		for await (const chunk of answer.body) {
			if (movable?.hasMoved()) {
				break;
			}

			for (const part of splitForTurns(chunk)) {
				const fault = await relay.relayPart(part);
				if (fault !== undefined) {
					return getBroken(fault);
				}
			}
		}
	} catch {
		// The body ends with an error when the target or this host breaks the connection off.
		return getBroken();
	}

	const isIncomplete = !answer.isComplete() || relay.hasIncompleteEvent() || !exchange.hasStarted();
	if (isIncomplete || movable?.hasMoved()) {
		return getBroken();
	}

	const endFault = order.findEndFault();
	if (endFault !== undefined) {
		return getBroken(endFault);
	}

	exchange.end();
	return {kind: 'complete', bytes: relay.bytes};
}
