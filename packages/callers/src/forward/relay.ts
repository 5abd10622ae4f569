import type {Clock} from '@egretrill/common';
import type {CallerExchange} from './caller-exchange.js';
import {MAX_EVENT_BYTES, MAX_HELD_ANSWER_BYTES, STREAM_SILENCE_MS} from './constants.js';
import {EventSplitter} from './event-splitter.js';
import type {TargetAnswer} from './forward-parts.js';
import {HeldBytes} from './held-bytes.js';

/** Whether the caller has the whole answer; after `broken` it has all whole events up to `lastEventId`. */
export type RelayEnd = {
	readonly kind: 'complete' | 'broken';
	/** Bytes of the body that were passed on. */
	readonly bytes: number;
	readonly lastEventId?: number;
	/** Why it is broken, if it did not just end early. */
	readonly reason?: string;
};

type Relay = {
	readonly exchange: CallerExchange;
	readonly answer: TargetAnswer;
	readonly headers: readonly string[];
	/** Told of each piece that is passed on. */
	readonly onPiece?: () => void;
};

/** Reads a body whole; what is too long to be held is told piece by piece, beginning with all that was held. */
async function readAll(answer: TargetAnswer, onLong: (bytes: Uint8Array) => Promise<void>): Promise<Uint8Array | undefined> {
	const held = new HeldBytes();
	for await (const piece of answer.body) {
		if (held.length > MAX_HELD_ANSWER_BYTES) {
			await onLong(piece);
			continue;
		}

		held.append(piece);
		if (held.length > MAX_HELD_ANSWER_BYTES) {
			await onLong(held.getBytes());
		}
	}

	return held.length > MAX_HELD_ANSWER_BYTES ? undefined : held.getBytes();
}

/** Passes on an answer once it is whole; a longer one is passed on as it arrives. */
export async function relayWhole({exchange, answer, headers}: Relay): Promise<RelayEnd> {
	let bytes = 0;
	try {
		const held = await readAll(answer, async piece => {
			if (!exchange.hasBegun()) {
				exchange.begin(answer.status, headers);
			}

			await exchange.write(piece);
			bytes += piece.length;
		});
		if (!answer.isComplete()) {
			return {kind: 'broken', bytes};
		}

		if (held) {
			// The length of a body that is not sent is known to the target alone.
			exchange.begin(answer.status, headers, answer.framing === 'none' ? undefined : held.length);
			await exchange.write(held);
			bytes = held.length;
		}

		exchange.end();
		return {kind: 'complete', bytes};
	} catch {
		// The body ends with an error when the target or this host breaks the connection off.
		return {kind: 'broken', bytes};
	}
}

/** Closes an answer that has been silent for too long; one task watches one stream. */
class SilenceWatch {
	private readonly stopper = new AbortController();
	private lastMs: number;

	constructor(private readonly clock: Clock, private readonly answer: TargetAnswer) {
		this.lastMs = clock.now();
	}

	note(): void {
		this.lastMs = this.clock.now();
	}

	stop(): void {
		this.stopper.abort();
	}

	async run(): Promise<void> {
		while (!this.stopper.signal.aborted) {
			const leftMs = this.lastMs + STREAM_SILENCE_MS - this.clock.now();
			if (leftMs <= 0) {
				this.answer.destroy();
				return;
			}

			await this.clock.sleep(leftMs, this.stopper.signal);
		}
	}
}

/** Passes on the whole events of a stream as they arrive. */
export async function relayEvents({exchange, answer, headers, onPiece}: Relay, lastEventId: number | undefined, watch?: {readonly clock: Clock}): Promise<RelayEnd> {
	const splitter = new EventSplitter();
	const skipUpTo = lastEventId;
	const silence = watch && new SilenceWatch(watch.clock, answer);
	let last = lastEventId;
	let bytes = 0;
	try {
		for await (const chunk of answer.body) {
			const events = splitter.push(chunk, skipUpTo);
			if (splitter.getRest().length > MAX_EVENT_BYTES) {
				return {
					kind: 'broken', bytes, lastEventId: last, reason: `An event is longer than ${MAX_EVENT_BYTES} bytes.`,
				};
			}

			if (events.bytes.length > 0) {
				if (!exchange.hasBegun()) {
					exchange.begin(answer.status, headers);
					void silence?.run();
				}

				last = events.lastEventId ?? last;
				onPiece?.();
				await exchange.write(events.bytes);
				bytes += events.bytes.length;
			}

			silence?.note();
		}
	} catch {
		// The body ends with an error when the target or this host breaks the connection off.
		return {kind: 'broken', bytes, lastEventId: last};
	} finally {
		silence?.stop();
	}

	if (!answer.isComplete() || splitter.getRest().length > 0 || !exchange.hasBegun()) {
		return {kind: 'broken', bytes, lastEventId: last};
	}

	exchange.end();
	return {kind: 'complete', bytes, lastEventId: last};
}
