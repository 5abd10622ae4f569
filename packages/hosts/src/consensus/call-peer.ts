import type {Clock} from '@egretrill/common';

/** Calls a peer; returns undefined when it fails, does not answer in time, or the caller's work ended. */
export async function callPeer<T>(clock: Clock, timeoutMs: number, signal: AbortSignal, call: (signal: AbortSignal) => Promise<T>): Promise<T | undefined> {
	const callController = new AbortController();
	const abortCall = (): void => {
		callController.abort();
	};

	const expire = async (): Promise<undefined> => {
		await clock.sleep(timeoutMs, callController.signal);
		return undefined;
	};

	signal.addEventListener('abort', abortCall, {once: true});
	try {
		return await Promise.race([call(callController.signal), expire()]);
	} catch {
		return undefined;
	} finally {
		signal.removeEventListener('abort', abortCall);
		abortCall();
	}
}
