import {Buffer} from 'node:buffer';
import type {MemoryHolding} from '@egretrill/common';
import {Result} from 'true-myth';
import {MAX_EMPTY_EVENT_BYTES, MAX_EMPTY_EVENTS, MAX_EVENT_BYTES} from '../constants.js';
import {readEventPlace} from './event-fields.js';
import type {EventOrder, EventPlace, EventVerdict} from './event-order.js';
import {GrowableBuffer} from './growable-buffer.js';

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
/** Bytes of an event's terminator that may precede its last byte. */
const EVENT_END_OVERLAP = 2;
const EMPTY = Buffer.alloc(0);

/** Fault of a stream whose incomplete event finds no room. */
export const NO_ROOM = 'This host has no memory left for an incomplete event.';

/** Fault of a stream that goes on without bringing anything. */
export const EMPTY_EVENTS = 'The target sent too many events without an id or text.';

/** Bytes of complete events that are new to the caller; `fault` says why the events after them must not be relayed. */
export type CompleteEvents = {
	readonly bytes: Uint8Array;
	/** Whether an event that is more than empty lines was completed, also if the caller has it already. */
	readonly hasProgress: boolean;
	readonly fault?: string;
};

/** Splits an event stream at event boundaries without changing its bytes. */
export class EventSplitter {
	private readonly incompleteEvent: GrowableBuffer;
	/** Event that is relayed only with the next one. */
	private heldEvent: Uint8Array = EMPTY;
	/** Events without an id or text since the last one that has either, and their bytes. */
	private emptyEvents = 0;
	private emptyBytes = 0;

	/** What the splitter buffers counts in the holding. */
	constructor(private readonly holding: MemoryHolding) {
		this.incompleteEvent = new GrowableBuffer(holding, MAX_EVENT_BYTES);
	}

	/** Adds a chunk and returns the events that it completes; events that the caller has already received are dropped. */
	push(chunk: Uint8Array, order: EventOrder): CompleteEvents {
		// The buffered bytes have been searched already; searching them again with each chunk would take quadratic time.
		const searchOffset = Math.max(0, this.incompleteEvent.length - EVENT_END_OVERLAP);
		// A chunk is usually one whole event, which needs no buffer.
		const isWhole = this.incompleteEvent.length === 0 && findEventEnd(chunk, 0) === chunk.length;
		if (!isWhole && !this.incompleteEvent.append(chunk)) {
			return {bytes: EMPTY, hasProgress: false, fault: NO_ROOM};
		}

		const bytes = isWhole ? chunk : this.incompleteEvent.getBytes();
		const newEvents: Uint8Array[] = [];
		let fault: string | undefined;
		let hasProgress = false;
		let startOffset = 0;
		for (let endOffset = findEventEnd(bytes, searchOffset); endOffset !== -1 && fault === undefined; endOffset = findEventEnd(bytes, startOffset)) {
			const event = bytes.subarray(startOffset, endOffset);
			const place = readEventPlace(event);
			const verdict = this.checkEvent(event, place, order);
			hasProgress ||= place !== undefined && place.content !== 'none';
			if (verdict.isErr) {
				fault = verdict.error;
			} else {
				newEvents.push(...this.selectEvents(event, verdict.value));
			}

			startOffset = endOffset;
		}

		if (startOffset > 0 && !isWhole) {
			this.incompleteEvent.dropStart(startOffset);
		}

		return {bytes: newEvents.length === 1 ? newEvents[0] ?? EMPTY : Buffer.concat(newEvents), hasProgress, ...(fault !== undefined && {fault})};
	}

	/** Buffered bytes of the event that is not complete yet. */
	getIncompleteEvent(): Uint8Array {
		return this.incompleteEvent.getBytes();
	}

	/** Returns what is done with an event, or why the stream must not be relayed further. */
	private checkEvent({length}: Uint8Array, place: EventPlace | undefined, order: EventOrder): Result<EventVerdict, string> {
		if (!place) {
			return Result.err('The stream contains text that is no event.');
		}

		const isEmpty = place.content !== 'some';
		this.emptyEvents = isEmpty ? this.emptyEvents + 1 : 0;
		this.emptyBytes = isEmpty ? this.emptyBytes + length : 0;
		return this.emptyEvents > MAX_EMPTY_EVENTS || this.emptyBytes > MAX_EMPTY_EVENT_BYTES ? Result.err(EMPTY_EVENTS) : order.addEvent(place);
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
	// Lines may be as short as one byte, for which a search by the runtime costs more than the comparison here.
	for (let offset = startOffset; offset < bytes.length; offset += 1) {
		if (bytes[offset] !== LINE_FEED) {
			continue;
		}

		const next = bytes[offset + 1] === CARRIAGE_RETURN ? offset + 2 : offset + 1;
		if (bytes[next] === LINE_FEED) {
			return next + 1;
		}
	}

	return -1;
}
