import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout} from 'node:timers/promises';
import {StandInEngine, StandInService} from '@egretrill/stand-ins';
import {
	createLocalConfig, type DaemonProcess, Fleet, getLocalKey, OPERATOR_KEY, Session, type StreamingCall, waitFor,
} from '@egretrill/testkit';
import {expect} from 'chai';
import got from 'got';

const ZONE = 'zone-a';
const DRAIN_DEADLINE_MS = 1500;
/** Half of the time for which a host stands still around the deadline. */
const STANDSTILL_MS = 300;
const draftPath = '/v1/chat/completions';

function getDraft(stream: boolean): string {
	return JSON.stringify({
		model: 'inscription', max_tokens: 4, stream, messages: [{role: 'user', content: 'Draft the plaque.'}],
	});
}

/** Sends the head of a request and a part of its body, and resolves with what the host answers until it closes the connection. */
async function sendPart(host: DaemonProcess): Promise<string> {
	const [address, port] = host.addresses.callers.split(':');
	const socket = connect(Number(port), address);
	await once(socket, 'connect');
	let text = '';
	socket.on('error', () => undefined).on('data', (bytes: Uint8Array) => {
		text += String(bytes);
	});
	socket.write(`POST /orders HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${getLocalKey('yard')}\r\nIdempotency-Key: part\r\nContent-Length: 4\r\n\r\nab`);
	await once(socket, 'close');
	return text;
}

function describeCall({status, headers, body}: StreamingCall): unknown {
	return {status, verdict: headers['x-egretrill-verdict'], body: body.replaceAll(/req-[\da-f\-]+/gv, 'REQUEST').replaceAll(': heartbeat\n\n', '')};
}

describe('the deadline of a drain', () => {
	let fleet: Fleet;
	let host: DaemonProcess;
	let engine: StandInEngine;
	let registry: StandInService;
	let ordering: StandInService;

	before(async () => {
		fleet = await Fleet.start({
			fleet: 'local', zones: [ZONE], config: createLocalConfig([ZONE]), settings: {drainDeadlineMs: DRAIN_DEADLINE_MS},
		});
		host = fleet.getHost(0);
		const hosts = fleet.getTargetAddresses(ZONE);
		engine = new StandInEngine({
			targetId: 'engine', zone: ZONE, hosts: [...hosts], slots: 1, memoryMb: 20_000, resident: [{model: 'inscription', version: 'v1', adapters: []}],
		});
		registry = new StandInService({
			targetId: 'registry', zone: ZONE, service: 'registry', hosts,
		});
		ordering = new StandInService({
			targetId: 'ordering', zone: ZONE, service: 'ordering', hosts,
		});
		await Promise.all([engine, registry, ordering].map(async target => target.start()));
	});

	after(async () => {
		await Promise.all([engine, registry, ordering].map(async target => target.stop()));
		await fleet.stop();
	});

	// Guards against requests in flight that end without an answer, so that their callers don't know whether they ran.
	it('ends each request in flight with a true verdict', async () => {
		const session = await Session.start(fleet);
		await session.send(host, draftPath, {customer: 'yard', body: getDraft(false)}).ended;
		registry.faults = {holdAnswer: true};
		ordering.faults = {holdAnswer: true};
		engine.faults = {holdAfterChunks: 2};
		const calls = {
			stream: session.send(host, draftPath, {customer: 'yard', body: getDraft(true)}),
			lookup: session.send(host, '/registry/mark', {customer: 'yard', method: 'GET'}),
			order: session.send(host, '/orders', {customer: 'yard', headers: {'idempotency-key': 'order'}, body: 'bronze'}),
		};
		await calls.stream.waitFor('"seq":1');
		const queued = session.send(host, draftPath, {customer: 'port', body: getDraft(true)});
		const part = sendPart(host);
		await waitFor('the held calls and the queued one', async () => {
			const metrics = await got(`http://${host.addresses.health}/metrics`).text();
			return (registry.runs.length === 1 && ordering.runs.length === 1 && metrics.includes('egretrill_waiting_requests 1\n')) || undefined;
		});
		const exitCode = await host.terminate();
		const answerToPart = await part;
		const ended = await Promise.all(Object.values({...calls, queued}).map(async call => call.ended));
		expect({
			exitCode,
			calls: Object.fromEntries(['stream', 'lookup', 'order', 'queued'].map((name, i) => [name, describeCall(ended[i]!)])),
			part: answerToPart.split('\r\n').filter(line => !/^(?:date|keep-alive):/iv.test(line)),
			runs: {engine: engine.received.length, registry: registry.runs, ordering: ordering.runs},
		}).toMatchSnapshot();
	});
});

describe('the end of a daemon', () => {
	// Guards against an operator's change that is cut off without an answer while it waits for a majority.
	it('answers the changes in progress', async () => {
		const zones = ['zone-a', 'zone-b', 'zone-c'];
		const document = createLocalConfig(zones);
		const fleet = await Fleet.start({fleet: 'local', zones, config: document});
		const [host, ...others] = fleet.hosts;
		for (const other of others) {
			other.pause();
		}

		const changing = got.post(`http://${host!.addresses.admin}/v1/config/apply`, {
			json: {document, follows: 1, requestId: 'change'}, headers: {authorization: `Bearer ${OPERATOR_KEY}`}, throwHttpErrors: false, retry: {limit: 0},
		});
		const exitCode = await host!.terminate();
		const answer = await changing;
		await fleet.stop();
		// Whether the change was sent to another host depends on which one led.
		expect(['503 not-run', '504 may-have-run']).to.include(`${answer.statusCode} ${String(answer.headers['x-egretrill-verdict'])}`);
		expect(exitCode).to.equal(0);
	});

	// Guards against an answer that is cut off although its target has sent all of it, because after a standstill the deadline is due before the answer is read.
	it('sends answers that have arrived at the deadline', async () => {
		const fleet = await Fleet.start({
			fleet: 'local', zones: [ZONE], config: createLocalConfig([ZONE]), settings: {drainDeadlineMs: DRAIN_DEADLINE_MS},
		});
		const host = fleet.getHost(0);
		const registry = new StandInService({
			targetId: 'registry', zone: ZONE, service: 'registry', hosts: fleet.getTargetAddresses(ZONE),
		});
		await registry.start();
		const session = await Session.start(fleet);
		const look = (): StreamingCall => session.send(host, '/registry/mark', {customer: 'yard', method: 'GET'});
		await waitFor('an answer', async () => {
			const {status} = await look().ended;
			return status === 200 || undefined;
		});
		registry.faults = {holdAnswer: true};
		const answeredCount = registry.runs.length;
		const lookup = look();
		await waitFor('the held call', () => registry.runs.length > answeredCount || undefined);
		const exited = host.terminate();
		await setTimeout(DRAIN_DEADLINE_MS - STANDSTILL_MS);
		host.pause();
		registry.faults = {};
		await setTimeout(2 * STANDSTILL_MS);
		host.resume();
		const {status} = await lookup.ended;
		await exited;
		await registry.stop();
		await fleet.stop();
		expect(status).to.equal(200);
	});
});
