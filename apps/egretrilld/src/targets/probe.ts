import {once} from 'node:events';
import {connect} from 'node:net';
import {PROBE_TIMEOUT_MS} from '../constants.js';

/** Whether nothing listens at an address any more; a host that does not answer at all gives no such proof. */
export async function isConnectionRefused(address: string): Promise<boolean> {
	const separator = address.lastIndexOf(':');
	const socket = connect(Number(address.slice(separator + 1)), address.slice(0, separator));
	try {
		await once(socket, 'connect', {signal: AbortSignal.timeout(PROBE_TIMEOUT_MS)});
		return false;
	} catch (err: unknown) {
		return (err as NodeJS.ErrnoException).code === 'ECONNREFUSED';
	} finally {
		socket.destroy();
	}
}
