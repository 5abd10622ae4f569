import {once} from 'node:events';
import {
	type AddressInfo, createServer, type Server, type Socket,
} from 'node:net';

const HEAD_END = '\r\n\r\n';

/** One connection to a raw target, which sends exactly the bytes of the script. */
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

	/** Resolves with what has arrived once the head of a further request is complete, or the connection is closed. */
	async readHead(): Promise<string> {
		while (!this.received.includes(HEAD_END) && !this.socket.destroyed) {
			await Promise.race([this.waitForEvent('data'), this.closed]);
		}

		const {received} = this;
		this.received = '';
		return received;
	}

	/** Resolves once `count` further bytes have arrived, or the connection is closed. */
	async readBytes(count: number): Promise<void> {
		const end = this.socket.bytesRead + count;
		while (this.socket.bytesRead < end && !this.socket.destroyed) {
			await Promise.race([this.waitForEvent('data'), this.closed]);
		}
	}

	/** Resolves when the connection accepts more data, or is closed. */
	async write(text: string): Promise<void> {
		if (this.socket.writable && !this.socket.write(text)) {
			await Promise.race([this.waitForEvent('drain'), this.closed]);
		}
	}

	/** Repeats the text until the connection is closed or `maxBytes` were written. */
	async flood(text: string, maxBytes: number): Promise<void> {
		while (this.socket.writable && this.socket.bytesWritten < maxBytes) {
			await this.write(text);
			// A write into free buffer space resolves immediately; the other end needs an event loop turn to read.
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

	private async waitForEvent(event: 'data' | 'drain'): Promise<void> {
		await new Promise<void>(resolve => {
			this.socket.once(event, () => {
				resolve();
			});
		});
	}
}

/** Script of one connection; `number` counts the connections of a target from 1. */
export type RawScript = (peer: RawPeer, number: number) => Promise<void> | void;

/** A TCP server whose connections run a script. */
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
		this.server = createServer(socket => {
			const peer = new RawPeer(socket);
			this.peers.push(peer);
			void script(peer, this.peers.length);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	/** Bytes sent on all its connections. */
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
