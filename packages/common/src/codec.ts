import {Buffer} from 'node:buffer';
import {Packr} from 'msgpackr';
import type {z} from 'zod';

/** Encodes and decodes one message type; decoding validates it. */
export type Codec<T> = {
	/** Returns a Buffer because the gRPC library takes nothing else. */
	// eslint-disable-next-line @typescript-eslint/no-restricted-types
	readonly encode: (value: T) => Buffer;
	readonly decode: (bytes: Uint8Array) => T;
};

/** Received bytes that are not a valid message of the expected type. */
export class DecodeError extends Error {
	override readonly name = 'DecodeError';
}

const packr = new Packr({useRecords: false, moreTypes: false, encodeUndefinedAsNil: false});

/** Builds the MessagePack codec of a schema. */
export function createCodec<Schema extends z.ZodType>(schema: Schema): Codec<z.infer<Schema>> {
	return {
		encode: value => Buffer.from(packr.pack(value)),
		decode(bytes) {
			let value: unknown;
			try {
				value = packr.unpack(bytes);
			} catch (err: unknown) {
				throw new DecodeError('The bytes are not valid MessagePack.', {cause: err});
			}

			const parsed = schema.safeParse(value);
			if (!parsed.success) {
				throw new DecodeError(`The message does not match its schema: ${parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ')}`);
			}

			return parsed.data;
		},
	};
}
