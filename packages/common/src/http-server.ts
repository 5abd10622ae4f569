import {createServer, type RequestListener, type Server} from 'node:http';
import {answerClientErrors} from './client-errors.js';
import {keepIdleConnections} from './idle-connections.js';
import {lingerAtEnd} from './linger-at-end.js';
import type {MemoryBudget} from './memory-budget.js';
import {serveInOrder} from './serve-in-order.js';

/** How long a client may take to send a request; the time for the answer is not limited. */
export type ReadTimeouts = {
	/** From the opening of the connection, or the first byte of a later request, to the end of the headers. */
	readonly headMs: number;
	/** From the same time to the end of the body. */
	readonly requestMs: number;
};

/** Enough for a body of MAX_MESSAGE_BYTES at 5 Mbit/s; Node's default for the whole request is 300 s. */
const DEFAULT_TIMEOUTS: ReadTimeouts = {headMs: 5000, requestMs: 30_000};

/** By default Node checks for requests that exceed their timeouts only every 30 s. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

export type HttpServerOptions = {
	readonly timeouts?: ReadTimeouts;
	/** Limit in which requests count that wait on their connection. */
	readonly memory?: MemoryBudget;
};

/** Changes the time that requests may take to arrive, also on connections that are already open. */
export function setReadTimeouts(server: Server, {headMs, requestMs}: ReadTimeouts): void {
	server.headersTimeout = headMs;
	server.requestTimeout = requestMs;
}

/** Creates a server that answers 408 to a request that does not arrive completely within the timeouts, and closes its connection. */
export function createHttpServer(listener: RequestListener, {timeouts = DEFAULT_TIMEOUTS, memory}: HttpServerOptions = {}): Server {
	const server = createServer({connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS}, serveInOrder(listener, memory));
	setReadTimeouts(server, timeouts);
	keepIdleConnections(server);
	answerClientErrors(server);
	server.prependListener('request', lingerAtEnd);
	return server;
}
