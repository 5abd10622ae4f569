import type {CallerExchange} from './caller-exchange.js';

/** Reads a body like the exchange, but resolves with undefined as soon as the signal aborts. */
export async function readBodyUntil(exchange: CallerExchange, maxBytes: number, ended: AbortSignal): Promise<Uint8Array | undefined> {
	let onEnd = (): void => undefined;
	const end = new Promise<undefined>(resolve => {
		onEnd = () => {
			resolve(undefined);
		};
	});
	ended.addEventListener('abort', onEnd, {once: true});
	try {
		return await Promise.race([exchange.readBody(maxBytes), end]);
	} finally {
		ended.removeEventListener('abort', onEnd);
	}
}
