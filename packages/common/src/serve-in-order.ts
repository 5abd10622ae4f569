import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Passes the requests of a connection to the listener one after another, each once the answer before it has ended.
 * A request whose answer can no longer be sent, because an earlier answer closed the connection, is not passed on.
 */
export function serveInOrder(listener: RequestListener): RequestListener {
	const latest = new WeakMap<Socket, ServerResponse>();
	const serve = (req: IncomingMessage, res: ServerResponse): void => {
		if (req.socket.writable) {
			listener(req, res);
		} else {
			req.socket.destroy();
		}
	};

	return (req, res) => {
		const previous = latest.get(req.socket);
		latest.set(req.socket, res);
		if (!previous || previous.closed) {
			serve(req, res);
			return;
		}

		previous.once('close', () => {
			serve(req, res);
		});
	};
}
