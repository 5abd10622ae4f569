import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import {findPorts} from './ports.js';

/** Direction of bytes through a link: `forward` is from the side that connects to the side that listens. */
export type LinkDirection = 'forward' | 'backward';

type Pipe = {readonly from: Socket; readonly to: Socket; readonly direction: LinkDirection};

/** A TCP relay in which tests can cut and heal each direction. */
export class Link {
	/** Opens a relay to the target on a free port, which no other process is given while the link refuses connections. */
	static async open(target: string): Promise<Link> {
		const link = new Link(target);
		const [port = 0] = await findPorts(1);
		await link.listen(port);
		return link;
	}

	private port = 0;
	private server: Server | undefined;
	private readonly cutDirections = new Set<LinkDirection>();
	private readonly pipes = new Set<Pipe>();
	private readonly blackholed = new Set<Pipe>();

	private constructor(private readonly target: string) {}

	get address(): string {
		return `127.0.0.1:${this.port}`;
	}

	/** Holds back the bytes of the given directions without closing connections, as packet loss does; new connections are accepted but carry no bytes in these directions. */
	cut(...directions: readonly LinkDirection[]): void {
		for (const direction of directions) {
			this.cutDirections.add(direction);
		}

		for (const {from, to, direction} of this.pipes) {
			if (this.cutDirections.has(direction)) {
				from.unpipe(to);
			}
		}
	}

	/** Drops everything that is sent on the present connections for good, including their FIN and RST; new connections are relayed. */
	blackhole(): void {
		for (const pipe of this.pipes) {
			this.blackholed.add(pipe);
			pipe.from.unpipe(pipe.to);
			pipe.from.resume();
		}
	}

	/** Closes all connections and refuses new ones. */
	async refuse(): Promise<void> {
		const {server} = this;
		this.server = undefined;
		for (const {from, to} of this.pipes) {
			from.destroy();
			to.destroy();
		}

		if (server) {
			server.close();
			await once(server, 'close');
		}
	}

	/** Ends all cuts and listens again after `refuse`; bytes that were held back are delivered, as after a retransmission. */
	async heal(): Promise<void> {
		const healedDirections = new Set(this.cutDirections);
		this.cutDirections.clear();
		for (const pipe of this.pipes) {
			const {from, to, direction} = pipe;
			if (this.blackholed.has(pipe)) {
				continue;
			}

			if (healedDirections.has(direction) && from.destroyed) {
				to.destroy();
			} else if (healedDirections.has(direction)) {
				from.pipe(to);
			}
		}

		if (!this.server) {
			await this.listen(this.port);
		}
	}

	private async listen(port: number): Promise<void> {
		this.server = createServer(clientSocket => {
			this.accept(clientSocket);
		});
		this.server.listen(port, '127.0.0.1');
		await once(this.server, 'listening');
		this.port = (this.server.address() as AddressInfo).port;
	}

	private accept(clientSocket: Socket): void {
		const separator = this.target.lastIndexOf(':');
		const targetSocket = connect(Number(this.target.slice(separator + 1)), this.target.slice(0, separator));
		this.relay({from: clientSocket, to: targetSocket, direction: 'forward'});
		this.relay({from: targetSocket, to: clientSocket, direction: 'backward'});
	}

	private relay(pipe: Pipe): void {
		const {from, to, direction} = pipe;
		this.pipes.add(pipe);
		from.on('error', () => {
			// The close event that follows closes the other side.
		});
		const removeIfClosed = (): void => {
			if (from.destroyed && to.destroyed) {
				this.pipes.delete(pipe);
				this.blackholed.delete(pipe);
			}
		};

		to.on('close', removeIfClosed);
		from.on('close', () => {
			if (!this.cutDirections.has(direction) && !this.blackholed.has(pipe)) {
				to.destroy();
			}

			removeIfClosed();
		});
		if (!this.cutDirections.has(direction)) {
			from.pipe(to);
		}
	}
}
