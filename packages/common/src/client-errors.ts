import {once} from 'node:events';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {MAX_DISCARD_MS} from './discard-rest.js';

const REQUEST_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

const statusLines: Readonly<Record<string, string>> = {
	[REQUEST_TIMEOUT_CODE]: '408 Request Timeout',
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
};

/** The open answers of each connection, in the order of their requests. */
class OpenAnswers {
	private readonly bySocket = new WeakMap<Socket, Set<ServerResponse>>();

	add(socket: Socket, res: ServerResponse): void {
		const open = this.bySocket.get(socket) ?? new Set();
		this.bySocket.set(socket, open.add(res));
		res.once('close', () => {
			open.delete(res);
		});
	}

	getFirst(socket: Socket): ServerResponse | undefined {
		return this.bySocket.get(socket)?.values().next().value;
	}
}

/** Sends the status of an error and closes the connection. */
function sendError(socket: Socket, code: string): void {
	socket.end(`HTTP/1.1 ${statusLines[code] ?? '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
	if (code === REQUEST_TIMEOUT_CODE) {
		// Otherwise the rest of the request could still arrive, and the request run although its caller was told that it did not.
		socket.destroy();
		return;
	}

	// Node's parser drops what arrives after an error; data on a closed connection would reset it, and the answer would be lost.
	const timer = setTimeout(() => {
		socket.destroy();
	}, MAX_DISCARD_MS);
	socket.once('close', () => {
		clearTimeout(timer);
	});
}

/**
 * Answers bytes that are no request, and requests that do not arrive in time, on the connections of a server.
 * Whole requests before them on the connection get their own answers first; Node would send them the error.
 */
export function answerClientErrors(server: Server): void {
	const answers = new OpenAnswers();
	const failed = new WeakSet<Socket>();
	server.prependListener('request', ({socket}: IncomingMessage, res: ServerResponse) => {
		answers.add(socket, res);
	});

	const answerError = async (code: string, socket: Socket): Promise<void> => {
		let first = answers.getFirst(socket);
		while (first?.req.complete) {
			await once(first, 'close');
			first = answers.getFirst(socket);
		}

		if (socket.writable && !first?.headersSent) {
			sendError(socket, code);
		} else {
			socket.destroy();
		}
	};

	server.on('clientError', ({code = ''}: NodeJS.ErrnoException, socket: Socket) => {
		if (!failed.has(socket)) {
			failed.add(socket);
			void answerError(code, socket);
		}
	});
}
