import {Buffer} from 'node:buffer';
import {MAX_MESSAGE_DEPTH} from './constants.js';
import {formatLayouts, readCount} from './message-shape.js';

/** MessagePack format byte of null. */
const NULL_FORMAT = 0xC0;

type Range = {readonly start: number; readonly end: number};

/** An array or map that is being read. */
type Container = {readonly start: number; readonly valuesBefore: number; readonly isArray: boolean; remaining: number};

/** How far a message has been read. */
type Progress = {readonly offset: number; readonly values: number; readonly maxItemValues: number};

/** Finds the items of arrays with more than `maxItemValues` values, without those inside other ones; returns none if the bytes are not one MessagePack value. */
function findLargeItems(bytes: Uint8Array, maxItemValues: number): readonly Range[] {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	const open: Container[] = [];
	const found: Range[] = [];
	let offset = 0;
	let values = 0;
	do {
		const formatByte = bytes[offset];
		const layout = formatByte === undefined ? undefined : formatLayouts[formatByte];
		if (!layout || offset + layout.countBytes >= bytes.length) {
			return [];
		}

		const start = offset;
		const count = layout.countBytes === 0 ? layout.count : readCount(view, offset + 1, layout.countBytes);
		const remaining = count * layout.valuesPerItem;
		offset += 1 + layout.countBytes + (layout.valuesPerItem === 0 ? count : 0);
		values += 1;
		if (remaining > 0) {
			open.push({
				start, valuesBefore: values - 1, isArray: layout.valuesPerItem === 1, remaining,
			});
		} else {
			closeValue(open, found, {offset, values, maxItemValues});
		}

		if (open.length > MAX_MESSAGE_DEPTH) {
			return [];
		}
	} while (open.length > 0);

	return offset === bytes.length ? found : [];
}

/** Counts a value that has been read in its container, and closes the containers whose last value it was. */
function closeValue(open: Container[], found: Range[], {offset, values, maxItemValues}: Progress): void {
	let container = open.at(-1);
	while (container) {
		container.remaining -= 1;
		if (container.remaining > 0) {
			return;
		}

		const {start, valuesBefore} = container;
		open.pop();
		container = open.at(-1);
		if (container?.isArray && values - valuesBefore > maxItemValues) {
			dropRangesInside(found, start);
			found.push({start, end: offset});
		}
	}
}

function dropRangesInside(found: Range[], start: number): void {
	while ((found.at(-1)?.start ?? -1) > start) {
		found.pop();
	}
}

/** Replaces the items of arrays that have more than `maxItemValues` values by null, so that a message with a few such items can be read. */
export function dropLargeItems(bytes: Uint8Array, maxItemValues: number): Uint8Array {
	// No item has more values than the message has bytes.
	const ranges = bytes.length > maxItemValues ? findLargeItems(bytes, maxItemValues) : [];
	if (ranges.length === 0) {
		return bytes;
	}

	const parts: Uint8Array[] = [];
	let offset = 0;
	for (const {start, end} of ranges) {
		parts.push(bytes.subarray(offset, start), Uint8Array.of(NULL_FORMAT));
		offset = end;
	}

	return Buffer.concat([...parts, bytes.subarray(offset)]);
}
