import {Buffer} from 'node:buffer';
import {GrowableBuffer} from './growable-buffer.js';

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
/** Bytes that may belong to the end of an event before its last one. */
const EVENT_END_OVERLAP = 2;
const EMPTY = Buffer.alloc(0);

/** Bytes of whole events, and the id of the last of them that has one. */
export type CompleteEvents = {readonly bytes: Uint8Array; readonly lastEventId: number | undefined};

/** Splits an event stream behind whole events without changing a byte. */
export class EventSplitter {
	private readonly incompleteEvent = new GrowableBuffer();

	/** Takes in bytes and returns those that complete an event; ids up to `skipUpTo` are left out as already delivered. */
	push(chunk: Uint8Array, skipUpTo: number | undefined): CompleteEvents {
		// What was held before has been searched, and searching it again with each piece would make the work grow with its square.
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

	/** Bytes of an event that has not ended. */
	getIncompleteEvent(): Uint8Array {
		return this.incompleteEvent.getBytes();
	}
}

/** Offset behind the empty line that ends the event, or -1. */
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
