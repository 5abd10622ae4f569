import type {Clock} from '@egretrill/common';

/** Calls a peer; returns undefined if the call fails, times out or is aborted by `signal`. */
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
