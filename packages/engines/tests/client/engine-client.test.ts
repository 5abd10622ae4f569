import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {MonotonicClock, type StreamItem, type TargetAddress} from '@egretrill/common';
import {expect} from 'chai';
import {EngineClient, IDLE_CONNECTION_MS} from '../../src/index.js';

const ANSWER = 'data: {"id":"req-1","egretrill":{"seq":0},"choices":[{"delta":{"content":"The"},"finish_reason":null}]}\n\ndata: [DONE]\n\n';

type StreamRun = {readonly items: ReadonlyArray<StreamItem['kind']>; readonly connection: number};

/** Serves the same answer to each request and records the client port of each connection. */
async function startEngine(): Promise<{readonly server: Server; readonly target: TargetAddress; readonly ports: Set<number>}> {
	const ports = new Set<number>();
	const server = createServer((req, res) => {
		ports.add(req.socket.remotePort ?? 0);
		req.resume();
		res.writeHead(200, {'content-type': 'text/event-stream'}).end(ANSWER);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {server, ports, target: {targetId: 'engine-1', startId: 'start-1', address: `127.0.0.1:${(server.address() as AddressInfo).port}`}};
}

async function stream(client: EngineClient, target: TargetAddress): Promise<Array<StreamItem['kind']>> {
	const items: Array<StreamItem['kind']> = [];
	const req = {
		requestId: 'req-1', method: 'POST', path: '/v1/chat/completions', headers: {}, body: new TextEncoder().encode('{}'), deadlineMs: 30_000,
	};
	for await (const batch of client.stream(target, req, new AbortController().signal)) {
		items.push(...batch.map(({kind}) => kind));
	}

	return items;
}

describe('engine client', () => {
	it('reuses the connection of a completed stream, since a new one for each request delays the first token', async () => {
		const {server, target, ports} = await startEngine();
		const client = new EngineClient(new MonotonicClock());
		const runs: StreamRun[] = [];
		for (let i = 0; i < 3; i++) {
			runs.push({items: await stream(client, target), connection: ports.size});
		}

		client.close();
		server.close();
		expect(runs).toMatchSnapshot();
	});

	// Guards against a request that fails because it is written to an idle connection just as the engine closes it.
	it('closes an idle connection before common servers close it', async () => {
		const {server, target} = await startEngine();
		server.keepAliveTimeout = 0;
		const closed = new Promise<number>(resolve => {
			server.once('connection', (socket: Socket) => {
				let idleSince = 0;
				socket.on('data', () => {
					idleSince = performance.now();
				});
				socket.once('close', () => {
					resolve(performance.now() - idleSince);
				});
			});
		});
		const client = new EngineClient(new MonotonicClock());
		await stream(client, target);
		const idleMs = await closed;
		client.close();
		server.close();
		expect(idleMs >= IDLE_CONNECTION_MS - 100).to.equal(true);
	});
});
