import type {Server} from 'node:http';

/** How long a client may take to send a request; the time for the answer is not limited. */
export type ReadTimeouts = {
	/** From the opening of the connection, or the first byte of a later request, to the end of the headers. */
	readonly headMs: number;
	/** From the same time to the end of the body. */
	readonly requestMs: number;
};

/**
 * A timeout that Node applies to all open connections. A shorter one comes into force only when the earlier one is over for each request that began under it.
 */
class HeldTimeout {
	private earlier: ReadonlyArray<{readonly ms: number; readonly untilMs: number}> = [];
	private timer: NodeJS.Timeout | undefined;

	/** `apply` puts a timeout into force. */
	constructor(private currentMs: number, private readonly apply: (ms: number) => void) {
		apply(currentMs);
	}

	change(ms: number): void {
		if (ms < this.currentMs) {
			this.earlier = [...this.earlier, {ms: this.currentMs, untilMs: performance.now() + this.currentMs}];
		}

		this.currentMs = ms;
		this.update();
	}

	private update(): void {
		clearTimeout(this.timer);
		const nowMs = performance.now();
		this.earlier = this.earlier.filter(({untilMs}) => untilMs > nowMs);
		this.apply(Math.max(this.currentMs, ...this.earlier.map(({ms}) => ms)));
		if (this.earlier.length > 0) {
			const nextEndMs = Math.min(...this.earlier.map(({untilMs}) => untilMs));
			this.timer = setTimeout(() => {
				this.update();
			}, nextEndMs - nowMs).unref();
		}
	}
}

type HeldTimeouts = {readonly head: HeldTimeout; readonly request: HeldTimeout};

const timeoutsByServer = new WeakMap<Server, HeldTimeouts>();

function createHeldTimeouts(server: Server, {headMs, requestMs}: ReadTimeouts): HeldTimeouts {
	return {
		head: new HeldTimeout(headMs, ms => {
			server.headersTimeout = ms;
		}),
		request: new HeldTimeout(requestMs, ms => {
			server.requestTimeout = ms;
		}),
	};
}

/** Changes the time that requests may take to arrive; one that began under longer timeouts keeps them. */
export function setReadTimeouts(server: Server, timeouts: ReadTimeouts): void {
	const held = timeoutsByServer.get(server);
	if (held) {
		held.head.change(timeouts.headMs);
		held.request.change(timeouts.requestMs);
	} else {
		timeoutsByServer.set(server, createHeldTimeouts(server, timeouts));
	}
}
