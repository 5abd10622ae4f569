import type {Agent} from 'node:http';
import {ChunkReader} from '@egretrill/engines';
import {
	type DaemonProcess, type Fleet, TargetProcess, waitFor,
} from '@egretrill/testkit';
import {benchResidentModels, startBenchFleet} from './fleet-setup.js';
import {getPercentiles} from './percentiles.js';
import {createStreamAgent, type StreamTimes, streamOnce} from './stream-client.js';

const STREAMS = 200;
const TOKENS = 50;
const BLOCKS = 3;
const READER_CHUNKS = 200_000;
const FAST_TOKENS = 2000;
const FAST_STREAMS = 20;
const TARGET_ADDED_MS = 2;
const TARGET_EVENTS_PER_S = 30_000;

type Rounds = {readonly newConnections: readonly StreamTimes[]; readonly keptConnections: readonly StreamTimes[]};

/** Spreads the starts of the streams over one second, so that a simultaneous start does not distort the result. */
async function runStreams(address: string, agent: Agent): Promise<readonly StreamTimes[]> {
	return Promise.all(Array.from({length: STREAMS}, async (_, i) => {
		await new Promise<void>(resolve => {
			setTimeout(resolve, (i / STREAMS) * 1000);
		});
		return streamOnce(address, TOKENS, {}, agent);
	}));
}

/** Runs the streams on new connections and again on the same ones; the balancer also reuses its connections. */
async function runRounds(address: string): Promise<Rounds> {
	const agent = createStreamAgent();
	const newConnections = await runStreams(address, agent);
	const keptConnections = await runStreams(address, agent);
	agent.destroy();
	return {newConnections, keptConnections};
}

function summarize(times: readonly StreamTimes[]) {
	return {
		firstTokenMs: getPercentiles(times.map(({firstMs}) => firstMs)),
		betweenTokensMs: getPercentiles(times.flatMap(({intervalsMs}) => [...intervalsMs])),
		failed: times.filter(({isWhole}) => !isWhole).length,
	};
}

/** Compares the streams of all blocks with and without the host. */
function compare(direct: readonly StreamTimes[], host: readonly StreamTimes[]) {
	const [withoutHost, throughHost] = [summarize(direct), summarize(host)];
	const getAdded = (percentile: 'p50' | 'p95') => ({
		firstToken: throughHost.firstTokenMs[percentile] - withoutHost.firstTokenMs[percentile],
		betweenTokens: throughHost.betweenTokensMs[percentile] - withoutHost.betweenTokensMs[percentile],
	});
	return {
		direct: withoutHost, throughHost, addedP50Ms: getAdded('p50'), addedP95Ms: getAdded('p95'),
	};
}

/** Alternates between direct streams and streams through the host, so that changes in the machine's load affect both. */
async function measureStreams(engine: string, host: DaemonProcess): Promise<Record<string, unknown>> {
	const direct: Rounds[] = [];
	const throughHost: Rounds[] = [];
	let cpuSeconds = 0;
	for (let block = 0; block < BLOCKS; block++) {
		direct.push(await runRounds(engine));
		const before = await host.getUsage();
		throughHost.push(await runRounds(host.addresses.callers));
		const after = await host.getUsage();
		cpuSeconds += after.cpuSeconds - before.cpuSeconds;
	}

	const collect = (rounds: readonly Rounds[], kind: keyof Rounds): readonly StreamTimes[] => rounds.flatMap(round => round[kind]);
	return {
		newConnections: compare(collect(direct, 'newConnections'), collect(throughHost, 'newConnections')),
		keptConnections: compare(collect(direct, 'keptConnections'), collect(throughHost, 'keptConnections')),
		// In the first block the code of the processes is not yet optimised; the totals above hide this effect.
		addedP95MsByBlock: direct.map((rounds, i) => ({
			newConnections: compare(rounds.newConnections, throughHost[i]!.newConnections).addedP95Ms,
			keptConnections: compare(rounds.keptConnections, throughHost[i]!.keptConnections).addedP95Ms,
		})),
		hostCpuMsPerStream: Math.round(cpuSeconds * 1000 / (BLOCKS * 2 * STREAMS) * 10) / 10,
	};
}

/** Measures the chunks per second that one core can check, without sockets. */
function measureReader(): number {
	const reader = new ChunkReader('req-1', 0);
	const encoder = new TextEncoder();
	const parts = Array.from({length: READER_CHUNKS}, (_, seq) => encoder.encode(`data: ${JSON.stringify({
		id: 'req-1', object: 'chat.completion.chunk', model: 'inscription', egretrill: {seq}, choices: [{index: 0, delta: {content: ' word'}, finish_reason: null}],
	})}\n\n`));
	const startedMs = performance.now();
	for (const part of parts) {
		reader.read(part);
	}

	return Math.round(READER_CHUNKS / ((performance.now() - startedMs) / 1000));
}

/** Measures the events that the host forwards in a second of processor time while the engine sends at full speed. */
async function measureForwarding(host: DaemonProcess, engine: TargetProcess): Promise<Record<string, number>> {
	await engine.setFaults({isFast: true});
	const before = await host.getUsage();
	const times = await Promise.all(Array.from({length: FAST_STREAMS}, async () => streamOnce(host.addresses.callers, FAST_TOKENS)));
	const after = await host.getUsage();
	await engine.setFaults({});
	const events = times.filter(({isWhole}) => isWhole).length * FAST_TOKENS;
	return {events, cpuSeconds: after.cpuSeconds - before.cpuSeconds, eventsPerCoreSecond: Math.round(events / Math.max(0.01, after.cpuSeconds - before.cpuSeconds))};
}

async function warmUp(fleet: Fleet, host: DaemonProcess): Promise<void> {
	await waitFor('a warm engine', async () => {
		const {isWhole} = await streamOnce(host.addresses.callers, 1);
		const answers = isWhole && await Promise.all(Array.from({length: 16}, async () => streamOnce(host.addresses.callers, 1)));
		return answers && answers.every(answer => answer.isWhole) ? true : undefined;
	});
	// The ramp's limit doubles with each completed request; these requests end the ramp.
	for (let i = 0; i < 300; i++) {
		await streamOnce(host.addresses.callers, 1);
	}
}

/** Measures the time that a host adds to a stream, compared with a direct stream. */
export async function runOverheadBench(_opts: {seed: number}): Promise<Record<string, unknown>> {
	const fleet = await startBenchFleet(1);
	// The engine runs in a separate process, so that the generation of tokens does not delay the measured callers.
	const engine = await TargetProcess.start({
		kind: 'engine', targetId: 'engine-1', zone: 'zone-a', hosts: [...fleet.getTargetAddresses('zone-a')], resident: benchResidentModels, slots: 256, prefillMs: 20, tokenIntervalMs: 50,
	});
	const host = fleet.getHost(0);
	await warmUp(fleet, host);
	const streams = await measureStreams(engine.address, host);
	const forwarding = await measureForwarding(host, engine);
	await engine.kill();
	await fleet.stop();
	return {
		streams: STREAMS,
		tokens: TOKENS,
		blocks: BLOCKS,
		...streams,
		forwarding,
		readerChunksPerCoreSecond: measureReader(),
		targets: {addedP95Ms: TARGET_ADDED_MS, eventsPerCoreSecond: TARGET_EVENTS_PER_S},
	};
}
