import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {runWithTimeout} from '@egretrill/common';
import {PROBE_CLOSE_WAIT_MS, PROBE_RETRY_MS, PROBE_TIMEOUT_MS} from '../constants.js';

type ProbeResult = 'refused' | 'closed' | 'open' | 'silent';

function isTimeout(err: unknown): boolean {
	return err instanceof Error && err.name === 'AbortError';
}

async function probe(address: string, signal: AbortSignal): Promise<ProbeResult> {
	const separator = address.lastIndexOf(':');
	const socket = connect(Number(address.slice(separator + 1)), address.slice(0, separator));
	try {
		await once(socket, 'connect', {signal});
		socket.resume();
		await runWithTimeout(PROBE_CLOSE_WAIT_MS, signal, async waitSignal => once(socket, 'end', {signal: waitSignal}));
		return 'closed';
	} catch (err: unknown) {
		if (isTimeout(err)) {
			return socket.connecting ? 'silent' : 'open';
		}

		return (err as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'refused' : 'closed';
	} finally {
		socket.on('error', () => undefined).destroy();
	}
}

/**
 * Whether an address refuses connections because nothing listens on it; a connection attempt that times out does not prove that.
 * A terminating process may close its connections before its listening socket, so the probe is repeated when a connection is closed right away.
 */
export async function isConnectionRefused(address: string): Promise<boolean> {
	const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
	let result = await probe(address, signal);
	while (result === 'closed' && !signal.aborted) {
		await delay(PROBE_RETRY_MS);
		result = await probe(address, signal);
	}

	return result === 'refused';
}
