import {Buffer} from 'node:buffer';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {refuseForStop} from '@egretrill/callers';
import type {Clock} from '@egretrill/common';
import {FINAL_CLOSE_MS, FINAL_FLUSH_MS} from './constants.js';
import {readArrived} from './read-arrived.js';
import {createRefusalBody, getRetryAfter} from './refusal-body.js';

/** Connections that wait until they are accepted, by Node's default for `listen`. */
const MAX_WAITING_CONNECTIONS = 511;

type Connection = {
	/** Ends the tracking of the connection. */
	readonly endTracking: () => void;
	/** Number of requests that have not been answered. */
	openCount: number;
	/** Bytes that had arrived when the last request was answered. */
	answeredBytes: number;
};

/** The refusal of a request whose head has not arrived completely. */
function createRawRefusal(): string {
	const verdict = refuseForStop();
	const body = createRefusalBody(verdict);
	return [
		'HTTP/1.1 503 Service Unavailable', 'content-type: application/json', `content-length: ${Buffer.byteLength(body)}`, `retry-after: ${getRetryAfter(verdict)}`, 'connection: close', '', body,
	].join('\r\n');
}

/** The connections of callers to a server that stops. Idle ones stay open until the end: closing one earlier would lose the requests that cross the close. */
export class CallerConnections {
	private readonly connections = new Map<Socket, Connection>();
	private acceptedCount = 0;
	private tracksIdle = true;

	/** `trackConnection` is called for each connection and returns a function that is called at its end. */
	constructor(private readonly server: Server, trackConnection: () => () => void) {
		server.on('connection', (socket: Socket) => {
			const endTracking = trackConnection();
			this.acceptedCount += 1;
			this.connections.set(socket, {endTracking, openCount: 0, answeredBytes: 0});
			socket.once('close', () => {
				this.connections.delete(socket);
				endTracking();
			});
		});
		server.prependListener('request', ({socket}: IncomingMessage, res: ServerResponse) => {
			this.trackAnswer(socket, res);
		});
	}

	/** Accepts no further connections after those that have arrived, or at once when the signal aborts; the open ones are kept. */
	async stopAccepting(signal: AbortSignal): Promise<void> {
		const startCount = this.acceptedCount;
		let knownCount: number;
		do {
			knownCount = this.acceptedCount;
			// Node accepts one connection of a socket in each turn of the event loop; closing the socket resets those that still wait.
			await readArrived();
		} while (this.acceptedCount > knownCount && knownCount - startCount < MAX_WAITING_CONNECTIONS && !signal.aborted);

		// The close method of the HTTP server would also close idle connections, on which requests may be arriving.
		NetServer.prototype.close.call(this.server);
	}

	/** Ends the tracking of idle connections, so that they no longer delay the stop; that of others ends when their callers have what they were sent. */
	stopTrackingIdle(): void {
		this.tracksIdle = false;
		for (const {openCount, endTracking} of this.connections.values()) {
			if (openCount === 0) {
				endTracking();
			}
		}
	}

	/** Closes all connections once the last answers have been sent. A request that arrives until then is answered; one that crosses the close finds the connection ended without an answer. */
	async close(clock: Clock): Promise<void> {
		await clock.sleep(FINAL_FLUSH_MS);
		await readArrived();
		for (const [socket, {openCount, answeredBytes}] of this.connections) {
			if (openCount === 0) {
				socket.end(socket.bytesRead > answeredBytes ? createRawRefusal() : '');
			}
		}

		await clock.sleep(FINAL_CLOSE_MS);
		this.server.close();
		this.server.closeAllConnections();
	}

	private trackAnswer(socket: Socket, res: ServerResponse): void {
		const connection = this.connections.get(socket);
		if (!connection) {
			return;
		}

		connection.openCount += 1;
		res.once('close', () => {
			connection.openCount -= 1;
			connection.answeredBytes = socket.bytesRead;
			if (connection.openCount === 0 && !this.tracksIdle) {
				connection.endTracking();
			}
		});
	}
}
