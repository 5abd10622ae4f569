import type {ConfigDocument} from '@egretrill/common';
import {StandInEngine} from '@egretrill/stand-ins';
import {
	createLocalConfig, type DaemonProcess, Fleet, Link, Session, waitFor,
} from '@egretrill/testkit';
import {expect} from 'chai';

const zones = ['zone-a', 'zone-b', 'zone-c'];
const draftPath = '/v1/chat/completions';
const models = ['mid-stream', 'prefill', 'slow', 'large'];
const BYTES_PER_MB = 1_048_576;
/** Memory budget of a host at the design size. */
const MEMORY_BOUND_MB = 64;
const CHUNK_LENGTH = 16_384;
const LARGE_ANSWER_CHUNKS = 24_000;

function createConfig(): ConfigDocument {
	const config = createLocalConfig(zones);
	return {
		...config,
		models: models.map(id => ({...config.models[0]!, id, adapters: []})),
		customers: config.customers.map(customer => ({...customer, rate: {...customer.rate, tokensPerSecond: 1_000_000, burstTokens: 1_000_000}})),
	};
}

function getDraft(model: string, tokens = 6): {readonly customer: string; readonly body: string} {
	return {
		customer: 'yard',
		body: JSON.stringify({
			model, max_tokens: tokens, stream: true, messages: [{role: 'user', content: 'Draft the plaque.'}],
		}),
	};
}

describe('connections between callers, hosts and targets', () => {
	let fleet: Fleet;
	const engines: StandInEngine[] = [];
	const links: Link[] = [];

	before(async () => {
		fleet = await Fleet.start({fleet: 'local', zones, config: createConfig()});
	});

	after(async () => {
		await Promise.all(engines.map(async engine => engine.stop()));
		await Promise.all(links.map(async link => link.refuse()));
		await fleet.stop();
	});

	/** Starts an engine that hosts reach through a link. */
	async function startEngine(host: DaemonProcess, model: string, targetId = `engine-${model}`): Promise<{readonly engine: StandInEngine; readonly link: Link}> {
		const engine = new StandInEngine({
			targetId, zone: host.peer.zone, hosts: [...fleet.getTargetAddresses(host.peer.zone)], memoryMb: 20_000, resident: [{model, version: 'v1', adapters: []}],
		});
		let link: Link | undefined;
		await engine.start(async address => {
			link = await Link.open(address);
			return link.address;
		});
		engines.push(engine);
		links.push(link!);
		return {engine, link: link!};
	}

	async function startSession(host: DaemonProcess, watched: readonly StandInEngine[]): Promise<Session> {
		return Session.start(fleet, {hosts: [host], targets: watched.map((engine, i) => ({name: `engine ${i + 1}`, getReceived: () => engine.received}))});
	}

	/** Silences the connection after three chunks have reached the caller, while the engine continues and new connections work. */
	async function silenceMidStream(host: DaemonProcess): Promise<string> {
		const {engine, link} = await startEngine(host, 'mid-stream');
		const session = await startSession(host, [engine]);
		engine.faults = {holdAfterChunks: 3};
		const call = session.send(host, draftPath, getDraft('mid-stream'));
		await call.waitFor('"seq":2');
		link.blackhole();
		engine.faults = {};
		return session.getTranscript();
	}

	/** Silences the connection before the first token, and then starts another engine that holds the model. */
	async function silenceDuringPrefill(host: DaemonProcess): Promise<string> {
		const {engine, link} = await startEngine(host, 'prefill');
		engine.faults = {holdAfterChunks: 0};
		const spare = new StandInEngine({
			targetId: 'engine-spare', zone: host.peer.zone, hosts: [...fleet.getTargetAddresses(host.peer.zone)], memoryMb: 20_000, resident: [{model: 'prefill', version: 'v1', adapters: []}],
		});
		const session = await startSession(host, [engine, spare]);
		session.send(host, draftPath, getDraft('prefill'));
		await waitFor('the request at the engine', () => engine.received.length === 1 || undefined);
		link.blackhole();
		engines.push(await spare.start());
		return session.getTranscript();
	}

	/** Runs a prefill that takes longer than the heartbeat deadline, while the engine sends a heartbeat each second. */
	async function runSlowPrefill(host: DaemonProcess): Promise<string> {
		const {engine} = await startEngine(host, 'slow');
		engine.faults = {prefillMs: 5000};
		const session = await startSession(host, [engine]);
		session.send(host, draftPath, getDraft('slow'));
		return session.getTranscript();
	}

	// Guards against a host that waits forever on a silent connection, and against one that mistakes a slow prefill for a silent connection.
	it('replaces a connection to an engine that goes silent, and does not interrupt a slow prefill', async () => {
		const [first, second, third] = fleet.hosts as [DaemonProcess, DaemonProcess, DaemonProcess];
		const [midStream, prefill, slow] = await Promise.all([silenceMidStream(first), silenceDuringPrefill(second), runSlowPrefill(third)]);
		expect(midStream).toMatchSnapshot();
		expect(prefill).toMatchSnapshot();
		expect(slow).toMatchSnapshot();
	});

	// Guards against a host that buffers an answer its caller does not read, and against an engine that keeps working after the caller has disconnected.
	it('applies backpressure to the engine while a caller does not read, and cancels its work when the caller disconnects', async () => {
		const host = fleet.getHost(0);
		const {engine} = await startEngine(host, 'large');
		engine.faults = {isFast: true, chunkLength: CHUNK_LENGTH};
		const before = await host.getUsage();
		const session = await startSession(host, [engine]);
		const call = session.send(host, draftPath, getDraft('large', LARGE_ANSWER_CHUNKS));
		await call.waitFor('"seq":0');
		call.stopReading();
		let [lastSentChunks, unchangedCount] = [0, 0];
		await waitFor('the end of sending', () => {
			unchangedCount = engine.sentChunks === lastSentChunks ? unchangedCount + 1 : 0;
			lastSentChunks = engine.sentChunks;
			return unchangedCount > 40 || undefined;
		});
		const after = await host.getUsage();
		expect(lastSentChunks * CHUNK_LENGTH / BYTES_PER_MB).to.be.below(MEMORY_BOUND_MB);
		expect(after.residentMb - before.residentMb).to.be.below(MEMORY_BOUND_MB);
		call.disconnect();
		await waitFor('the end of the work', () => engine.received.at(-1)?.outcome === 'not-answered' || undefined);
		await waitFor('the log line', () => session.getLog(host).some(({msg, outcome}) => msg === 'Request ended.' && outcome === 'cancelled') || undefined);
		expect(engine.sentChunks).to.be.below(LARGE_ANSWER_CHUNKS);
	});
});
