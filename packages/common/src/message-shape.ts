import {MAX_MESSAGE_DEPTH} from './constants.js';

/** What follows a first byte: a count of this many bytes, or a fixed count, of payload bytes or of values. */
type Layout = {readonly countBytes: 0 | 1 | 2 | 4; readonly count: number; readonly valuesEach: 0 | 1 | 2};

const UNDEFINED_TOKEN = 0xD4;

function describeToken(token: number): Layout | undefined {
	const withCount = (countBytes: 0 | 1 | 2 | 4, valuesEach: 0 | 1 | 2, count = 0): Layout => ({countBytes, count, valuesEach});
	if (token < 0x80 || token >= 0xE0) {
		return withCount(0, 0);
	}

	if (token < 0xC0) {
		return token < 0xA0 ? withCount(0, token < 0x90 ? 2 : 1, token % 16) : withCount(0, 0, token - 0xA0);
	}

	const others: Readonly<Record<number, Layout>> = {
		// Nil and booleans
		0xC0: withCount(0, 0), 0xC2: withCount(0, 0), 0xC3: withCount(0, 0),
		// Binary data and strings
		0xC4: withCount(1, 0), 0xC5: withCount(2, 0), 0xC6: withCount(4, 0), 0xD9: withCount(1, 0), 0xDA: withCount(2, 0), 0xDB: withCount(4, 0),
		// Numbers
		0xCA: withCount(0, 0, 4), 0xCB: withCount(0, 0, 8), 0xCC: withCount(0, 0, 1), 0xCD: withCount(0, 0, 2), 0xCE: withCount(0, 0, 4), 0xCF: withCount(0, 0, 8),
		0xD0: withCount(0, 0, 1), 0xD1: withCount(0, 0, 2), 0xD2: withCount(0, 0, 4), 0xD3: withCount(0, 0, 8),
		[UNDEFINED_TOKEN]: withCount(0, 0, 2),
		// Arrays and maps
		0xDC: withCount(2, 1), 0xDD: withCount(4, 1), 0xDE: withCount(2, 2), 0xDF: withCount(4, 2),
	};
	return others[token];
}

const layouts = Array.from({length: 256}, (_, token) => describeToken(token));

function readCount(view: DataView, at: number, countBytes: 1 | 2 | 4): number {
	switch (countBytes) {
		case 1: {
			return view.getUint8(at);
		}

		case 2: {
			return view.getUint16(at);
		}

		case 4: {
			return view.getUint32(at);
		}
	}
}

/**
 * Counts the values of a message, itself included; undefined unless the bytes are exactly one MessagePack value, without extension types other than undefined, nested at most `MAX_MESSAGE_DEPTH` deep.
 * The decoder builds dates, cyclic structures, integers of any length and code from extensions, and needs minutes for some.
 */
export function countValues(bytes: Uint8Array, maxValues: number): number | undefined {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	/** Values that each open array or map still lacks. */
	const missing = [1];
	let at = 0;
	let values = 0;
	while (missing.length > 0) {
		const left = missing.pop() ?? 0;
		if (left === 0) {
			continue;
		}

		values += 1;
		const token = bytes[at];
		const layout = token === undefined ? undefined : layouts[token];
		if (!layout || values > maxValues || at + layout.countBytes >= bytes.length || (token === UNDEFINED_TOKEN && bytes[at + 1] !== 0)) {
			return undefined;
		}

		const count = layout.countBytes === 0 ? layout.count : readCount(view, at + 1, layout.countBytes);
		at += 1 + layout.countBytes + (layout.valuesEach === 0 ? count : 0);
		missing.push(left - 1);
		if (layout.valuesEach > 0) {
			missing.push(count * layout.valuesEach);
		}

		if (missing.length > MAX_MESSAGE_DEPTH) {
			return undefined;
		}
	}

	return at === bytes.length ? values : undefined;
}
