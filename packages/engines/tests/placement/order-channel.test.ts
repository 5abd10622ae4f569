import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, createServer as createSocketServer} from 'node:net';
import type {Order} from '@egretrill/common';
import {expect} from 'chai';
import {
	FencingOrderChannel, type HttpOrderChannel, openConnection, type SendOutcome, UnfencedOrderChannel,
} from '../../src/placement/index.js';

type RequestHandler = (req: IncomingMessage, res: ServerResponse) => void;

const order: Order = {
	orderId: 'o1', fencing: 3, expiresInMs: 2000, kind: 'load-model', model: 'a', version: 'v1',
};

function respondWith(status: number): RequestHandler {
	return (_req, res) => {
		res.writeHead(status).end();
	};
}

describe('order channels over HTTP', () => {
	let server: Server;
	let handleRequest: RequestHandler = respondWith(202);
	let received = 0;

	before(async () => {
		server = createServer((req, res) => {
			received += 1;
			handleRequest(req, res);
		}).listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	after(() => {
		server.close();
	});

	async function send(channel: HttpOrderChannel, sent: Order, mayWrite = true): Promise<SendOutcome> {
		const {port} = server.address() as AddressInfo;
		return channel.send({targetId: 't1', startId: 's1', address: `127.0.0.1:${port}`}, sent, () => mayWrite, new AbortController().signal);
	}

	it('distinguishes refusals and stale fencing numbers from unknown outcomes', async () => {
		const outcomes: Record<string, unknown> = {};
		for (const status of [200, 202, 400, 409, 412, 503]) {
			handleRequest = respondWith(status);
			outcomes[status] = {fencing: await send(new FencingOrderChannel(), order), unfenced: await send(new UnfencedOrderChannel(), order)};
		}

		expect(outcomes).toMatchSnapshot();
	});

	it('destroys the connection at expiry and reports the outcome as unknown, since the engine may have accepted the order', async () => {
		let closed: Promise<unknown> | undefined;
		handleRequest = req => {
			closed = once(req.socket, 'close');
		};

		const {result} = await send(new UnfencedOrderChannel(), {...order, expiresInMs: 100});
		await closed;
		expect(result).to.equal('unknown');
	});

	it('reports a connection that breaks after the write as unknown', async () => {
		handleRequest = req => {
			req.socket.destroy();
		};

		const {result} = await send(new FencingOrderChannel(), order);
		expect(result).to.equal('unknown');
	});

	it('writes nothing without a lease or without a listener, and reports the order as not sent', async () => {
		received = 0;
		const forbidden = await send(new FencingOrderChannel(), order, false);
		const idle = createServer().listen(0, '127.0.0.1');
		await once(idle, 'listening');
		const {port} = idle.address() as AddressInfo;
		idle.close();
		await once(idle, 'close');
		const refused = await new UnfencedOrderChannel().send({targetId: 't1', startId: 's1', address: `127.0.0.1:${port}`}, order, () => true, new AbortController().signal);
		expect({received, forbidden: forbidden.result, refused: refused.result}).to.deep.equal({received: 0, forbidden: 'not-sent', refused: 'not-sent'});
	});

	// Guards against an unknown outcome although the engine has accepted the order, and against an endless body that fills the memory until the order expires.
	it('needs only the head of an answer', async () => {
		handleRequest = (_req, res) => {
			res.writeHead(202).write('the rest never comes');
		};

		expect(await send(new FencingOrderChannel(), order)).toMatchSnapshot();
	});

	// Guards against a connection reset between connecting and writing that ends the process as an unhandled error event.
	it('survives a connection that is reset before anything is written', async () => {
		const resetting = createSocketServer(accepted => {
			accepted.once('data', () => {
				accepted.resetAndDestroy();
			});
		}).listen(0, '127.0.0.1');
		await once(resetting, 'listening');
		const socket = await openConnection(`127.0.0.1:${(resetting.address() as AddressInfo).port}`, new AbortController().signal);
		const closed = new Promise<boolean>(resolve => {
			socket.once('close', resolve);
		});
		socket.write('bytes');
		const hadError = await closed;
		resetting.close();
		expect(hadError).to.equal(true);
	});

	// Guards against an engine on port 80 that never gets an order, since a URL with this port has none.
	it('connects to the port of the address', async () => {
		const ports: unknown[] = [];
		for (const port of [1, 80]) {
			try {
				// Nothing listens at this loopback address.
				const socket = await openConnection(`127.77.77.77:${port}`, new AbortController().signal);
				socket.destroy();
			} catch (err: unknown) {
				ports.push((err as {readonly port?: number}).port);
			}
		}

		expect(ports).to.deep.equal([1, 80]);
	});
});
