import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** How much longer than announced an idle connection stays open; Node adds the same time to its own timer. */
const IDLE_MARGIN_MS = 1000;

/** Closes a connection unless data has arrived that is not read yet, as after a standstill of this process. */
function closeIfStillIdle(socket: Socket): void {
	const {bytesRead} = socket;
	// Timers run before sockets are read, and immediates afterwards; a request may have been read and answered by then.
	setImmediate(() => {
		if (socket.bytesRead === bytesRead) {
			socket.destroy();
		}
	});
}

/**
 * Keeps each idle connection open for the announced time and for the time that is in force, when `keepAliveTimeout` changes.
 * Node announces the time with the head of an answer, but starts the timer at its end and does not change it while the connection is idle.
 */
export function keepIdleConnections(server: Server): void {
	// Runs before the listener that may change the time.
	server.prependListener('request', ({socket}: IncomingMessage, res: ServerResponse) => {
		const announcedMs = server.keepAliveTimeout;
		res.once('finish', () => {
			const minMs = announcedMs + IDLE_MARGIN_MS;
			// Node has set a timeout only if the connection is idle.
			if (socket.timeout && socket.timeout < minMs) {
				socket.setTimeout(minMs);
			}
		});
	});
	server.on('timeout', (socket: Socket) => {
		const currentMs = server.keepAliveTimeout + IDLE_MARGIN_MS;
		if (socket.timeout && socket.timeout < currentMs) {
			socket.setTimeout(currentMs);
			return;
		}

		closeIfStillIdle(socket);
	});
}
