import {MAX_MESSAGE_DEPTH} from './constants.js';

/**
 * What follows the format byte of a value: a count that is `countBytes` long, or the fixed `count` if that is 0.
 * The count is one of payload bytes if `valuesPerItem` is 0, otherwise of items with that many nested values: 1 in arrays, 2 in maps.
 */
type Layout = {readonly countBytes: 0 | 1 | 2 | 4; readonly count: number; readonly valuesPerItem: 0 | 1 | 2};

/** The format byte of one-byte extensions; the encoder writes undefined as one of type 0. */
const UNDEFINED_FORMAT = 0xD4;

function getLayout(formatByte: number): Layout | undefined {
	const createLayout = (countBytes: 0 | 1 | 2 | 4, valuesPerItem: 0 | 1 | 2, count = 0): Layout => ({countBytes, count, valuesPerItem});
	if (formatByte < 0x80 || formatByte >= 0xE0) {
		return createLayout(0, 0);
	}

	if (formatByte < 0xC0) {
		return formatByte < 0xA0 ? createLayout(0, formatByte < 0x90 ? 2 : 1, formatByte % 16) : createLayout(0, 0, formatByte - 0xA0);
	}

	const layoutsByFormat: Readonly<Record<number, Layout>> = {
		// Nil and Booleans
		0xC0: createLayout(0, 0), 0xC2: createLayout(0, 0), 0xC3: createLayout(0, 0),
		// Binary data and strings
		0xC4: createLayout(1, 0), 0xC5: createLayout(2, 0), 0xC6: createLayout(4, 0), 0xD9: createLayout(1, 0), 0xDA: createLayout(2, 0), 0xDB: createLayout(4, 0),
		// Numbers
		0xCA: createLayout(0, 0, 4), 0xCB: createLayout(0, 0, 8), 0xCC: createLayout(0, 0, 1), 0xCD: createLayout(0, 0, 2), 0xCE: createLayout(0, 0, 4), 0xCF: createLayout(0, 0, 8),
		0xD0: createLayout(0, 0, 1), 0xD1: createLayout(0, 0, 2), 0xD2: createLayout(0, 0, 4), 0xD3: createLayout(0, 0, 8),
		[UNDEFINED_FORMAT]: createLayout(0, 0, 2),
		// Arrays and maps
		0xDC: createLayout(2, 1), 0xDD: createLayout(4, 1), 0xDE: createLayout(2, 2), 0xDF: createLayout(4, 2),
	};
	return layoutsByFormat[formatByte];
}

/** Layout of each format byte; undefined for those that no message may contain. */
export const formatLayouts = Array.from({length: 256}, (_, formatByte) => getLayout(formatByte));

/** Reads the count that follows a format byte. */
export function readCount(view: DataView, offset: number, countBytes: 1 | 2 | 4): number {
	switch (countBytes) {
		case 1: {
			return view.getUint8(offset);
		}

		case 2: {
			return view.getUint16(offset);
		}

		case 4: {
			return view.getUint32(offset);
		}
	}
}

/**
 * Counts the values of a message, including the outermost one. Returns undefined if there are more than `maxValues`, or unless the bytes are exactly one MessagePack value
 * without extension types other than undefined, nested at most `MAX_MESSAGE_DEPTH` deep.
 * From extension types the decoder would create dates, cyclic structures, integers of any length and code, which takes minutes for some.
 */
export function countValues(bytes: Uint8Array, maxValues: number): number | undefined {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	/** Number of values still to be read in each open array or map, innermost last. */
	const remainingByContainer = [1];
	let offset = 0;
	let values = 0;
	while (remainingByContainer.length > 0) {
		const remaining = remainingByContainer.pop() ?? 0;
		if (remaining === 0) {
			continue;
		}

		values += 1;
		const formatByte = bytes[offset];
		const layout = formatByte === undefined ? undefined : formatLayouts[formatByte];
		if (!layout || values > maxValues || offset + layout.countBytes >= bytes.length || (formatByte === UNDEFINED_FORMAT && bytes[offset + 1] !== 0)) {
			return undefined;
		}

		const count = layout.countBytes === 0 ? layout.count : readCount(view, offset + 1, layout.countBytes);
		offset += 1 + layout.countBytes + (layout.valuesPerItem === 0 ? count : 0);
		remainingByContainer.push(remaining - 1);
		if (layout.valuesPerItem > 0) {
			remainingByContainer.push(count * layout.valuesPerItem);
		}

		if (remainingByContainer.length > MAX_MESSAGE_DEPTH) {
			return undefined;
		}
	}

	return offset === bytes.length ? values : undefined;
}
