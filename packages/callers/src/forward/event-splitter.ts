import {Buffer} from 'node:buffer';
import type {MemoryHolding} from '@egretrill/common';
import {Result} from 'true-myth';
import {MAX_EVENT_BYTES} from './constants.js';
import {readEventPlace} from './event-fields.js';
import type {EventOrder, EventVerdict} from './event-order.js';
import {GrowableBuffer} from './growable-buffer.js';

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
/** Bytes of an event's terminator that may precede its last byte. */
const EVENT_END_OVERLAP = 2;
const EMPTY = Buffer.alloc(0);

/** Fault of a stream whose incomplete event finds no room. */
export const NO_ROOM = 'This host has no memory left for an incomplete event.';

/** Bytes of complete events that are new to the caller; `fault` says why the events after them must not be relayed. */
export type CompleteEvents = {readonly bytes: Uint8Array; readonly fault?: string};

/** Splits an event stream at event boundaries without changing its bytes. */
export class EventSplitter {
	private readonly incompleteEvent: GrowableBuffer;
	/** Event that is relayed only with the next one. */
	private heldEvent: Uint8Array = EMPTY;

	/** What the splitter buffers counts in the holding. */
	constructor(private readonly holding: MemoryHolding) {
		this.incompleteEvent = new GrowableBuffer(holding, MAX_EVENT_BYTES);
	}

	/** Adds a chunk and returns the events that it completes; events that the caller has already received are dropped. */
	push(chunk: Uint8Array, order: EventOrder): CompleteEvents {
		// The buffered bytes have been searched already; searching them again with each chunk would take quadratic time.
		const searchOffset = Math.max(0, this.incompleteEvent.length - EVENT_END_OVERLAP);
		if (!this.incompleteEvent.append(chunk)) {
			return {bytes: EMPTY, fault: NO_ROOM};
		}

		const bytes = this.incompleteEvent.getBytes();
		const newEvents: Uint8Array[] = [];
		let fault: string | undefined;
		let startOffset = 0;
		for (let endOffset = findEventEnd(bytes, searchOffset); endOffset !== -1 && fault === undefined; endOffset = findEventEnd(bytes, startOffset)) {
			const event = bytes.subarray(startOffset, endOffset);
			const place = readEventPlace(event);
			const verdict = place ? order.addEvent(place) : Result.err<EventVerdict, string>('The stream contains text that is no event.');
			if (verdict.isErr) {
				fault = verdict.error;
			} else {
				newEvents.push(...this.selectEvents(event, verdict.value));
			}

			startOffset = endOffset;
		}

		if (startOffset > 0) {
			this.incompleteEvent.dropStart(startOffset);
		}

		return {bytes: newEvents.length === 1 ? newEvents[0] ?? EMPTY : Buffer.concat(newEvents), ...(fault !== undefined && {fault})};
	}

	/** Buffered bytes of the event that is not complete yet. */
	getIncompleteEvent(): Uint8Array {
		return this.incompleteEvent.getBytes();
	}

	/** Returns the events to relay after the verdict on one of them. */
	private selectEvents(event: Uint8Array, verdict: EventVerdict): readonly Uint8Array[] {
		switch (verdict) {
			case 'relay': {
				return [event];
			}

			case 'drop': {
				return [];
			}

			case 'hold': {
				// The buffer of the event is used again for the next chunk.
				this.heldEvent = Buffer.from(event);
				this.holding.add(event.length);
				return [];
			}

			case 'release': {
				const held = this.heldEvent;
				this.heldEvent = EMPTY;
				this.holding.shrink(held.length);
				return [held, event];
			}
		}
	}
}

/** Offset after the empty line that ends the event, or -1. */
function findEventEnd(bytes: Uint8Array, startOffset: number): number {
	for (let offset = bytes.indexOf(LINE_FEED, startOffset); offset !== -1; offset = bytes.indexOf(LINE_FEED, offset + 1)) {
		const next = bytes[offset + 1] === CARRIAGE_RETURN ? offset + 2 : offset + 1;
		if (bytes[next] === LINE_FEED) {
			return next + 1;
		}
	}

	return -1;
}
