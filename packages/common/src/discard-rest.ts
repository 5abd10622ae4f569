import type {IncomingMessage} from 'node:http';

/** Enough for a caller on a slow link that sends its whole body before it reads the answer. */
export const MAX_DISCARD_MS = 5000;
export const MAX_DISCARD_BYTES = 16_777_216;

/**
 * Reads and drops the rest of a request that is answered before it has arrived, up to MAX_DISCARD_MS and MAX_DISCARD_BYTES.
 * Without this, data that arrives after the connection was closed resets it, and the answer is lost with it.
 */
export async function discardRest(req: IncomingMessage): Promise<void> {
	const timer = setTimeout(() => {
		req.destroy();
	}, MAX_DISCARD_MS);
	let bytes = 0;
	try {
		for await (const chunk of req.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			bytes += chunk.length;
			if (bytes > MAX_DISCARD_BYTES) {
				return;
			}
		}
	} catch {
		// The caller disconnected, or the time is over.
	} finally {
		clearTimeout(timer);
	}
}
