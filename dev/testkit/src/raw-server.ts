import {once} from 'node:events';
import {
	type AddressInfo, createServer, type Server, type Socket,
} from 'node:net';

const CHUNK_BYTES = 65_536;

/** A TCP server that answers with arbitrary bytes, which need not be valid HTTP. */
export class RawServer {
	/** Starts a server that calls `serve` once for each connection when the first bytes have arrived. */
	static async start(serve: (socket: Socket, request: string) => void): Promise<RawServer> {
		const rawServer = new RawServer(serve);
		rawServer.server.listen(0, '127.0.0.1');
		await once(rawServer.server, 'listening');
		return rawServer;
	}

	private readonly sockets = new Set<Socket>();
	private readonly server: Server;

	private constructor(serve: (socket: Socket, request: string) => void) {
		this.server = createServer(socket => {
			this.sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('data', bytes => {
				serve(socket, bytes.toString());
			});
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	stop(): void {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}
}

/** Writes as fast as the peer reads until the connection is closed; resolves with the number of bytes written. */
export async function writeUntilClosed(socket: Socket, chunk = ' '.repeat(CHUNK_BYTES)): Promise<number> {
	const closed = new AbortController();
	socket.once('close', () => {
		closed.abort();
	});
	while (!socket.destroyed) {
		if (!socket.write(chunk)) {
			try {
				await once(socket, 'drain', {signal: closed.signal});
			} catch {
				break;
			}
		}
	}

	return socket.bytesWritten;
}
