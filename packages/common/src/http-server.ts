import {createServer, type RequestListener, type Server} from 'node:http';

/** How long the other end of a connection may take to send a request; an answer takes as long as it needs. */
export type ReadTimeouts = {
	/** From the opening of the connection, or the first byte of a later request, to the end of the head. */
	readonly headMs: number;
	/** From the same moment to the end of the body. */
	readonly requestMs: number;
};

/** Enough for a body of MAX_MESSAGE_BYTES at 5 Mbit/s; the library's own limit is 300 s. */
const DEFAULT_LIMITS: ReadTimeouts = {headMs: 5000, requestMs: 30_000};

/** The library looks for requests beyond their limits only every 30 s unless it is told otherwise. */
const LIMIT_CHECK_MS = 500;

/** Changes how long the requests of a server may take to arrive, those on open connections included. */
export function setReadTimeouts(server: Server, {headMs, requestMs}: ReadTimeouts): void {
	server.headersTimeout = headMs;
	server.requestTimeout = requestMs;
}

/** Creates a server that answers 408 to a request that arrives too slowly, or without end, and closes its connection. */
export function createHttpServer(listener: RequestListener, limits = DEFAULT_LIMITS): Server {
	const server = createServer({connectionsCheckingInterval: LIMIT_CHECK_MS}, listener);
	setReadTimeouts(server, limits);
	return server;
}
