import type {Clock} from '@egretrill/common';

/** Calls a peer; returns undefined when it fails, does not answer in time, or the caller's work ended. */
export async function callPeer<T>(clock: Clock, timeoutMs: number, signal: AbortSignal, call: (signal: AbortSignal) => Promise<T>): Promise<T | undefined> {
	const stopper = new AbortController();
	const stop = (): void => {
		stopper.abort();
	};

	const expire = async (): Promise<undefined> => {
		await clock.sleep(timeoutMs, stopper.signal);
		return undefined;
	};

	signal.addEventListener('abort', stop, {once: true});
	try {
		return await Promise.race([call(stopper.signal), expire()]);
	} catch {
		return undefined;
	} finally {
		signal.removeEventListener('abort', stop);
		stop();
	}
}
