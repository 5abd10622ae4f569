import {Buffer} from 'node:buffer';
import {GrowableBuffer} from './growable-buffer.js';

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
/** Bytes of an event's terminator that may precede its last byte. */
const EVENT_END_OVERLAP = 2;
const EMPTY = Buffer.alloc(0);

/** Bytes of complete events and the id of the last event that has one. */
export type CompleteEvents = {readonly bytes: Uint8Array; readonly lastEventId: number | undefined};

/** Splits an event stream at event boundaries without changing its bytes. */
export class EventSplitter {
	private readonly incompleteEvent = new GrowableBuffer();

	/** Adds a chunk and returns the events that it completes; events with ids up to `skipUpTo` are dropped as already delivered. */
	push(chunk: Uint8Array, skipUpTo: number | undefined): CompleteEvents {
		// The buffered bytes have been searched already; searching them again with each chunk would take quadratic time.
		const searchOffset = Math.max(0, this.incompleteEvent.length - EVENT_END_OVERLAP);
		this.incompleteEvent.append(chunk);
		const bytes = this.incompleteEvent.getBytes();
		const completeEvents: Uint8Array[] = [];
		let lastEventId: number | undefined;
		let startOffset = 0;
		for (let endOffset = findEventEnd(bytes, searchOffset); endOffset !== -1; endOffset = findEventEnd(bytes, startOffset)) {
			const event = bytes.subarray(startOffset, endOffset);
			const id = readEventId(event);
			if (id === undefined || skipUpTo === undefined || id > skipUpTo) {
				completeEvents.push(event);
				lastEventId = id ?? lastEventId;
			}

			startOffset = endOffset;
		}

		if (startOffset > 0) {
			this.incompleteEvent.dropStart(startOffset);
		}

		return {bytes: completeEvents.length === 1 ? completeEvents[0] ?? EMPTY : Buffer.concat(completeEvents), lastEventId};
	}

	/** Buffered bytes of the event that is not complete yet. */
	getIncompleteEvent(): Uint8Array {
		return this.incompleteEvent.getBytes();
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

function readEventId(event: Uint8Array): number | undefined {
	const match = /^id: ?(?<id>\d+)\r?$/mv.exec(Buffer.from(event.buffer, event.byteOffset, event.byteLength).toString('latin1'));
	return match?.groups?.id === undefined ? undefined : Number(match.groups.id);
}
