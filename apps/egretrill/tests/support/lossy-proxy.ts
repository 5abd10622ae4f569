import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import got from 'got';

/** A proxy that forwards every call to a host and drops the answers to the first ones. */
export class LossyProxy {
	readonly bodies: string[] = [];
	private readonly server: Server;

	constructor(target: string, private answersToDrop: number) {
		this.server = createServer(async (req, res) => {
			const body = await text(req);
			this.bodies.push(body);
			const answer = await got(`http://${target}${req.url}`, {
				method: req.method as 'POST', body, headers: {...req.headers, host: target}, throwHttpErrors: false, retry: {limit: 0},
			});
			if (this.answersToDrop > 0) {
				this.answersToDrop -= 1;
				req.socket.destroy();
				return;
			}

			res.writeHead(answer.statusCode, {'content-type': 'application/json'}).end(answer.body);
		});
	}

	async start(): Promise<string> {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	stop(): void {
		this.server.closeAllConnections();
		this.server.close();
	}
}
