import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {discardRest} from './discard-rest.js';

/** Whether a request has arrived completely; one without a body has, although the parser reports that only after the listener. */
function hasArrived({complete, headers}: IncomingMessage): boolean {
	return complete || (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined);
}

/** Sends the last part of an answer, and its length with the head: chunked encoding would tell the end only after the rest of the request. */
function writeLast(res: ServerResponse, chunk: string | Uint8Array, encoding: BufferEncoding): void {
	if (!res.headersSent && !res.hasHeader('content-length')) {
		res.setHeader('Content-Length', typeof chunk === 'string' ? Buffer.byteLength(chunk, encoding) : chunk.length);
	}

	res.write(chunk, encoding);
}

/**
 * Makes an answer that closes its connection end only after the rest of its request; what it sends goes out at once.
 * Node would close the connection right after the answer; the rest of the request would reset it, and the answer would be lost.
 * The method of this one answer is replaced, because express sets the prototype of each.
 */
export function lingerAtEnd(req: IncomingMessage, res: ServerResponse): void {
	const end = res.end.bind(res) as (...args: readonly unknown[]) => ServerResponse;
	const endAfterRest = async (callback: unknown): Promise<void> => {
		await discardRest(req);
		end(callback);
	};

	res.end = (...args: readonly unknown[]) => {
		res.end = end;
		if (res.shouldKeepAlive || hasArrived(req)) {
			return end(...args);
		}

		const [chunk, encoding] = args.filter(argument => typeof argument !== 'function');
		if (chunk !== undefined && chunk !== null) {
			writeLast(res, chunk as string | Uint8Array, encoding as BufferEncoding | undefined ?? 'utf8');
		}

		// A body that is empty, or is not sent as for HEAD, does not send the head.
		res.flushHeaders();
		void endAfterRest(args.find(argument => typeof argument === 'function'));
		return res;
	};
}
