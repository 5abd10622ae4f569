import {
	type Codec, createCodec, MAX_DOCUMENT_VALUES, MAX_ITEM_VALUES, MAX_LIST_VALUES, MAX_MESSAGE_VALUES,
} from '@egretrill/common';
import type {z} from 'zod';

/** An RPC method between hosts, with the codecs of its messages. */
export type Method<Req, Res> = {
	readonly path: string;
	readonly req: Codec<Req>;
	readonly res: Codec<Res>;
};

/** Defines a method from the schemas of its messages. */
export function defineMethod<Req, Res>(service: string, name: string, req: z.ZodType<Req>, res: z.ZodType<Res>): Method<Req, Res> {
	return {path: `/egretrill.${service}/${name}`, req: createCodec(req, MAX_MESSAGE_VALUES), res: createCodec(res, MAX_MESSAGE_VALUES)};
}

/** Defines a method whose messages may contain a whole configuration document. */
export function defineDocumentMethod<Req, Res>(service: string, name: string, req: z.ZodType<Req>, res: z.ZodType<Res>): Method<Req, Res> {
	return {path: `/egretrill.${service}/${name}`, req: createCodec(req, MAX_DOCUMENT_VALUES), res: createCodec(res, MAX_DOCUMENT_VALUES)};
}

/** Defines a method that is answered with a list whose items come from other writers; a reader gets null instead of an item that is too large. */
export function defineListMethod<Req, Res>(service: string, name: string, req: z.ZodType<Req>, res: z.ZodType<Res>): Method<Req, Res> {
	return {path: `/egretrill.${service}/${name}`, req: createCodec(req, MAX_DOCUMENT_VALUES), res: createCodec(res, MAX_LIST_VALUES, MAX_ITEM_VALUES)};
}

/** Handler of one method. */
export type MethodHandler = {
	readonly path: string;
	/** Decodes and validates the request; resolves with a function that encodes the response, which is called when it can be written. */
	readonly handle: (bytes: Uint8Array) => Promise<() => Uint8Array>;
};

/** Binds a method to the function that handles its requests. */
export function bindMethod<Req, Res>(method: Method<Req, Res>, handle: (req: Req) => Promise<Res>): MethodHandler {
	return {
		path: method.path,
		async handle(bytes) {
			const res = await handle(method.req.decode(bytes));
			return () => method.res.encode(res);
		},
	};
}
