import {once} from 'node:events';
import process from 'node:process';
import {
	Agent, type ClientRequest, type IncomingMessage, request,
} from 'node:http';
import {setTimeout} from 'node:timers/promises';
import {createRandom, type Random} from '@egretrill/common';
import {expect} from 'chai';
import {
	BALANCER_WAIT_MS, DRAIN_MS, getPort, startEntryHost,
} from './support/entry-fixture.js';
import {SIGNED} from './support/forward-host.js';
import {RawTarget} from './support/raw-target.js';

/** Set `STOP_SEED` and `STOP_COUNT` for a longer run. */
const SEED = Number(process.env.STOP_SEED ?? 7);
const STOPS = Number(process.env.STOP_COUNT ?? 5);
const CALLERS = 20;
/** Longest pause of a caller between two requests; each connection carries several requests in the time of a stop. */
const MAX_PAUSE_MS = 40;
const BEFORE_STOP_MS = 300;
const ANSWER_MS = 5;
/** The balancer sends no new connections from this time before the end of the wait for it. */
const REMOVAL_MARGIN_MS = 50;

/** How a request ended: with a status, or with the error of its connection; `new` if no earlier request used the connection. */
type CallEnd = {readonly id: string; readonly end: string; readonly sentMs: number; readonly endMs: number};

async function call(agent: Agent, port: number, id: string): Promise<string> {
	const req: ClientRequest = request({
		agent, port, host: '127.0.0.1', path: `/${id}`,
	});
	req.end();
	try {
		const [res] = await once(req, 'response') as [IncomingMessage];
		res.resume();
		await once(res, 'end');
		return `${res.statusCode}${req.reusedSocket ? '' : ' new'}`;
	} catch (err: unknown) {
		return `${(err as NodeJS.ErrnoException).code}${req.reusedSocket ? '' : ' new'}`;
	}
}

/** Sends one request after another on a kept connection, until its connection is closed after the balancer has removed the host. */
async function callUntilStopped(port: number, name: string, random: Random, removed: AbortSignal): Promise<readonly CallEnd[]> {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	const ends: CallEnd[] = [];
	for (let count = 0; ; count++) {
		await setTimeout(random() * MAX_PAUSE_MS);
		const sentMs = performance.now();
		const hasConnection = Object.keys(agent.freeSockets).length > 0;
		if (removed.aborted && !hasConnection) {
			agent.destroy();
			return ends;
		}

		const end = await call(agent, port, `${name}-${count}`);
		ends.push({
			id: `${name}-${count}`, end, sentMs, endMs: performance.now(),
		});
	}
}

/** Stops a host while callers use kept connections; returns how each request ended, and the ids that were passed on. */
async function stopWithCallers(random: Random, stop: number): Promise<{readonly ends: readonly CallEnd[]; readonly passedOn: ReadonlySet<string>; readonly stoppedMs: number}> {
	const passedOn = new Set<string>();
	const target = await RawTarget.open(async peer => {
		for (;;) {
			const head = await peer.readHead();
			if (peer.socket.destroyed) {
				return;
			}

			passedOn.add(/^GET \/(?<id>\S+)/v.exec(head)?.groups?.id ?? '');
			await setTimeout(ANSWER_MS);
			await peer.write(`HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 5\r\n\r\nwhole`);
		}
	});
	const host = await startEntryHost(target.address, {repeat: 'once'}, {slots: 100});
	const port = getPort(host);
	const removed = new AbortController();
	const callers = Array.from({length: CALLERS}, async (_, caller) => callUntilStopped(port, `${stop}-${caller}`, random, removed.signal));
	await setTimeout(BEFORE_STOP_MS);
	const stoppedMs = performance.now();
	const stopped = host.stop('test');
	await setTimeout(BALANCER_WAIT_MS - REMOVAL_MARGIN_MS);
	removed.abort();
	await stopped;
	const ends = await Promise.all(callers);
	target.close();
	return {ends: ends.flat(), passedOn, stoppedMs};
}

describe('repeated stops of an entry host', () => {
	// Guards against a request without an answer, because the host closes its connection, or its listening socket, while the request arrives.
	it('leave no request without an answer', async () => {
		const random = createRandom(SEED);
		const lost: string[] = [];
		let requests = 0;
		for (let stop = 0; stop < STOPS; stop++) {
			const {ends, passedOn, stoppedMs} = await stopWithCallers(random, stop);
			requests += ends.length;
			lost.push(...ends.filter(({end}) => !/^\d/v.test(end)).map(({id, end, sentMs, endMs}) => `${id}: ${end} from ${Math.round(sentMs - stoppedMs)} to ${Math.round(endMs - stoppedMs)} ms of ${DRAIN_MS}, ${passedOn.has(id) ? 'passed on' : 'not passed on'}`));
		}

		if (process.env.STOP_COUNT) {
			process.stdout.write(`${JSON.stringify({seed: SEED, requests, lost: lost.length})}\n`);
		}

		expect(requests).to.be.above(STOPS * CALLERS);
		expect(lost).to.deep.equal([]);
	});
});
