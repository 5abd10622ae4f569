/**
 * Runs a task with a signal that aborts with the given one or after a time. Node 20 may discard a timeout signal that only a combined signal refers to,
 * so that it never aborts; the timer here keeps its own.
 */
export async function runWithTimeout<T>(timeoutMs: number, signal: AbortSignal, task: (signal: AbortSignal) => Promise<T>): Promise<T> {
	const expiry = new AbortController();
	const timer = setTimeout(() => {
		expiry.abort(new DOMException(`The time of ${timeoutMs} ms is over.`, 'TimeoutError'));
	}, timeoutMs);
	try {
		return await task(AbortSignal.any([signal, expiry.signal]));
	} finally {
		clearTimeout(timer);
	}
}
