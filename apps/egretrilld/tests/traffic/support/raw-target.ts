import {once} from 'node:events';
import {
	type AddressInfo, createServer, type Server, type Socket,
} from 'node:net';

const HEAD_END = '\r\n\r\n';

/** One connection to a raw target; it sends exactly the bytes that it is told to. */
export class RawPeer {
	readonly closed: Promise<unknown>;
	received = '';

	constructor(readonly socket: Socket) {
		this.closed = new Promise(resolve => {
			socket.once('close', resolve);
		});
		socket.on('error', () => undefined);
		socket.on('data', (bytes: Uint8Array) => {
			this.received += bytes.toString();
		});
	}

	/** Resolves once the head of a further request has arrived, or the connection is closed. */
	async readHead(): Promise<void> {
		while (!this.received.includes(HEAD_END) && !this.socket.destroyed) {
			await Promise.race([this.wait('data'), this.closed]);
		}

		this.received = '';
	}

	/** Resolves once so many further bytes have arrived, or the connection is closed. */
	async readBytes(count: number): Promise<void> {
		const end = this.socket.bytesRead + count;
		while (this.socket.bytesRead < end && !this.socket.destroyed) {
			await Promise.race([this.wait('data'), this.closed]);
		}
	}

	/** Resolves when the connection takes more, or is closed. */
	async write(text: string): Promise<void> {
		if (this.socket.writable && !this.socket.write(text)) {
			await Promise.race([this.wait('drain'), this.closed]);
		}
	}

	/** Writes without end until the connection is closed or so many bytes were written. */
	async flood(text: string, maxBytes: number): Promise<void> {
		while (this.socket.writable && this.socket.bytesWritten < maxBytes) {
			await this.write(text);
			// A write that finds room resolves at once; the other end needs a turn to read.
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}

	end(): void {
		this.socket.end();
	}

	reset(): void {
		this.socket.resetAndDestroy();
	}

	private async wait(event: 'data' | 'drain'): Promise<void> {
		await new Promise<void>(resolve => {
			this.socket.once(event, () => {
				resolve();
			});
		});
	}
}

/** Plays one connection; `number` counts the connections of a target from 1. */
export type RawScript = (peer: RawPeer, number: number) => Promise<void> | void;

/** A target that speaks TCP as a script tells. */
export class RawTarget {
	static async open(script: RawScript): Promise<RawTarget> {
		const target = new RawTarget(script);
		target.server.listen(0, '127.0.0.1');
		await once(target.server, 'listening');
		return target;
	}

	readonly peers: RawPeer[] = [];
	private readonly server: Server;

	private constructor(script: RawScript) {
		this.server = createServer({allowHalfOpen: true}, socket => {
			const peer = new RawPeer(socket);
			this.peers.push(peer);
			void script(peer, this.peers.length);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	/** Bytes that its connections have sent. */
	get bytesWritten(): number {
		return this.peers.reduce((sum, {socket}) => sum + socket.bytesWritten, 0);
	}

	close(): void {
		this.server.close();
		for (const {socket} of this.peers) {
			socket.destroy();
		}
	}
}
