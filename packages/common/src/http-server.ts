import {createServer, type RequestListener, type Server} from 'node:http';
import {answerClientErrors} from './client-errors.js';
import {keepIdleConnections} from './idle-connections.js';
import {lingerAtEnd} from './linger-at-end.js';
import type {MemoryBudget} from './memory-budget.js';
import {type ReadTimeouts, setReadTimeouts} from './read-timeouts.js';
import {serveInOrder} from './serve-in-order.js';

/** Enough for a body of MAX_MESSAGE_BYTES at 5 Mbit/s; Node's default for the whole request is 300 s. */
const DEFAULT_TIMEOUTS: ReadTimeouts = {headMs: 5000, requestMs: 30_000};

/** By default Node checks for requests that exceed their timeouts only every 30 s. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

export type HttpServerOptions = {
	readonly timeouts?: ReadTimeouts;
	/** Limit in which requests count that wait on their connection. */
	readonly memory?: MemoryBudget;
};

/** Creates a server that answers 408 to a request that does not arrive completely within the timeouts, and closes its connection. */
export function createHttpServer(listener: RequestListener, {timeouts = DEFAULT_TIMEOUTS, memory}: HttpServerOptions = {}): Server {
	const server = createServer({connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS}, serveInOrder(listener, memory));
	setReadTimeouts(server, timeouts);
	keepIdleConnections(server);
	answerClientErrors(server);
	server.prependListener('request', lingerAtEnd);
	return server;
}
