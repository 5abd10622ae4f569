import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {MemoryBudget} from './memory-budget.js';
import {WaitingRequests} from './waiting-requests.js';

/**
 * Passes the requests of a connection to the listener one after another, each once the answer before it has ended.
 * A request whose answer can no longer be sent, because an earlier answer closed the connection, is not passed on.
 * Requests that wait count in the memory budget, if there is one.
 */
export function serveInOrder(listener: RequestListener, memory?: MemoryBudget): RequestListener {
	const latest = new WeakMap<Socket, ServerResponse>();
	const waiting = new WeakMap<Socket, WaitingRequests>();
	const serve = (req: IncomingMessage, res: ServerResponse): void => {
		if (req.socket.writable) {
			listener(req, res);
		} else {
			req.socket.destroy();
		}
	};

	return (req, res) => {
		const {socket} = req;
		if (socket.destroyed) {
			// What has arrived together with earlier requests is parsed to its end, also after the connection was closed.
			return;
		}

		const previous = latest.get(socket);
		latest.set(socket, res);
		if (!previous || previous.closed) {
			serve(req, res);
			return;
		}

		const others = waiting.get(socket) ?? new WaitingRequests(socket, memory);
		waiting.set(socket, others);
		others.add();
		previous.once('close', () => {
			others.remove();
			serve(req, res);
		});
	};
}
