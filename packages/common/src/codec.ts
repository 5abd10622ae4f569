import {Buffer} from 'node:buffer';
import {Packr} from 'msgpackr';
import type {z} from 'zod';
import {MAX_DECODE_FAULTS} from './constants.js';
import {countValues} from './message-shape.js';
import {dropLargeItems} from './large-items.js';
import {MAX_PART_VALUES, parseInParts, parseWhole} from './parse-in-parts.js';

/** Encodes and decodes one message type; decoding validates it. */
export type Codec<T> = {
	readonly schema: z.ZodType<T>;
	/** Returns a Buffer because the gRPC library accepts only that. */
	// eslint-disable-next-line @typescript-eslint/no-restricted-types
	readonly encode: (value: T) => Buffer;
	readonly decode: (bytes: Uint8Array) => T;
};

/** Received bytes that are not a valid message of the expected type. */
export class DecodeError extends Error {
	override readonly name = 'DecodeError';
}

const packr = new Packr({
	useRecords: false, moreTypes: false, encodeUndefinedAsNil: false, int64AsType: 'number',
});

/** Creates the MessagePack codec of a schema; decoding rejects messages with more than `maxValues` values, after it has replaced list items with more than `maxItemValues` by null. */
export function createCodec<T>(schema: z.ZodType<T>, maxValues = Infinity, maxItemValues = Infinity): Codec<T> {
	return {
		schema,
		encode: value => Buffer.from(packr.pack(value)),
		decode(received) {
			const bytes = maxItemValues === Infinity ? received : dropLargeItems(received, maxItemValues);
			const count = countValues(bytes, maxValues);
			if (count === undefined) {
				throw new DecodeError('The bytes are not one MessagePack value of plain types within the limits.');
			}

			let value: unknown;
			try {
				value = packr.unpack(bytes);
			} catch (err: unknown) {
				throw new DecodeError('The bytes are not valid MessagePack.', {cause: err});
			}

			const parsed = count > MAX_PART_VALUES ? parseInParts(schema, value) : parseWhole(schema, value);
			if ('faults' in parsed) {
				throw new DecodeError(`The message does not match its schema: ${parsed.faults.slice(0, MAX_DECODE_FAULTS).map(({path, message}) => `${path.join('.')}: ${message}`).join('; ')}`);
			}

			return parsed.data as T;
		},
	};
}
