/** Runs tasks one at a time, in the order in which they were submitted. */
export class SerialQueue {
	private tail: Promise<void> = Promise.resolve();

	async run<T>(task: () => Promise<T>): Promise<T> {
		const previous = this.tail;
		const {promise, resolve} = createDeferred();
		this.tail = promise;
		await previous;
		try {
			return await task();
		} finally {
			resolve();
		}
	}
}

function createDeferred(): {readonly promise: Promise<void>; readonly resolve: () => void} {
	let resolvePromise: (() => void) | undefined;
	const promise = new Promise<void>(resolve => {
		resolvePromise = resolve;
	});
	return {promise, resolve: () => resolvePromise?.()};
}
