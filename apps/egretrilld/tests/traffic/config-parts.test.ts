import {Buffer} from 'node:buffer';
import {
	createLogger, createRandom, ManualClock, type Random, type TrafficSource,
} from '@egretrill/common';
import type {ControlHost, Method, PeerCallError} from '@egretrill/hosts';
import {expect} from 'chai';
import {Result} from 'true-myth';
import {
	type ConfigPartRequest, ConfigParts, ControlFollower, getServedState,
} from '../../src/traffic/index.js';
import {CountingSink} from './support/counting-sink.js';

/** Time in which hosts in touch put a confirmed change into force. */
const APPLY_MS = 2500;
const LINK_BYTES_PER_MS = 875;
const ROUND_TRIP_MS = 4;
const SPAN_MS = 12_000;

type Change = {readonly atMs: number; readonly routes: number};
type LinkCase = {
	readonly name: string;
	readonly changes: readonly Change[];
	/** Part of the link that the answers to callers take. */
	readonly callersShare?: number;
	/** Time in which nothing arrives. */
	readonly cut?: {readonly fromMs: number; readonly untilMs: number};
};

function createSource(version: number, routes: number, random: Random): string {
	const createName = (): string => Math.floor(random() * (2 ** 40)).toString(36);
	return JSON.stringify({
		version,
		routes: Array.from({length: routes}, () => ({
			name: `r-${createName()}`, host: `${createName()}.example`, 'path-prefix': `/${createName()}/`, kind: 'streaming', 'timeout-ms': 12_000, 'target-latency-ms': 500, priority: 2, service: 'huvo11a', 'max-attempts': 2, public: false, sticky: true, resumable: true, 'gap-target-ms': 200,
		})),
	});
}

/** Two control hosts behind the link of an entry host, which all their answers share. */
class LinkedControlHosts {
	readonly parts = new ConfigParts(() => this.traffic);
	private traffic: TrafficSource | undefined;
	private busyUntilMs = 0;

	constructor(private readonly clock: ManualClock, private readonly opts: LinkCase) {}

	commit(traffic: TrafficSource): void {
		this.traffic = traffic;
	}

	getOthers(): readonly ControlHost[] {
		return [{id: 'lead'}, {id: 'other'}];
	}

	setKnownHosts(): void {
		// The same hosts stay.
	}

	async call<Req, Res>(hostId: string, method: Method<Req, Res>, req: Req, deadlineMs = 1000): Promise<Result<Res, PeerCallError>> {
		const {clock} = this;
		const sentMs = clock.now();
		await clock.sleep(ROUND_TRIP_MS);
		const res = this.handle(hostId, method.path, req) as Res;
		const bytesPerMs = LINK_BYTES_PER_MS * (1 - (this.opts.callersShare ?? 0));
		this.busyUntilMs = Math.max(this.busyUntilMs, this.endCut(clock.now())) + (method.res.encode(res).length / bytesPerMs);
		const arrivesMs = this.busyUntilMs;
		if (arrivesMs > sentMs + deadlineMs) {
			await clock.sleep(sentMs + deadlineMs - clock.now());
			return Result.err({code: 'timeout', message: 'Deadline exceeded.'});
		}

		await clock.sleep(arrivesMs - clock.now());
		return Result.ok(res);
	}

	private endCut(nowMs: number): number {
		const {cut} = this.opts;
		return cut && nowMs >= cut.fromMs && nowMs < cut.untilMs ? cut.untilMs : nowMs;
	}

	private handle(hostId: string, path: string, req: unknown): unknown {
		if (path.endsWith('config-part')) {
			return {part: this.parts.getPart(req as ConfigPartRequest)};
		}

		const state = {getCrashes: () => [], getTraffic: () => this.traffic, getZonesOut: () => []};
		const node = {hasReplayed: () => true, status: () => ({appliedIndex: this.traffic?.version ?? 0})} as unknown as Parameters<typeof getServedState>[0]['node'];
		return {
			leaderId: 'lead', controls: [], registry: {
				origin: 'o', revision: 1, isWhole: false, targets: [],
			},
			...getServedState({node, state, getTimeOfDayMs: () => 0}, req as {configVersion: number}),
			...(hostId === 'lead' && {
				plan: {
					others: [], expected: [], rates: {
						serial: 1, standing: 1, leased: [], hostCount: 71,
					},
				},
			}),
		};
	}
}

class VersionSink extends CountingSink {
	readonly inForce: Array<{readonly version: number; readonly atMs: number; readonly bytes: number}> = [];

	constructor(private readonly clock: ManualClock) {
		super();
	}

	override getKnownVersions(): ReturnType<CountingSink['getKnownVersions']> {
		return {...super.getKnownVersions(), configVersion: this.inForce.at(-1)?.version ?? 0};
	}

	override applyConfig({version, source}: TrafficSource): void {
		this.inForce.push({version, atMs: this.clock.now(), bytes: Buffer.byteLength(source)});
	}
}

/** Plays changes; returns how long after its commit each version, or a newer one, is in force. */
async function play(linkCase: LinkCase): Promise<{readonly delaysMs: readonly number[]; readonly isWhole: boolean}> {
	const clock = new ManualClock();
	const random = createRandom(7);
	const hosts = new LinkedControlHosts(clock, linkCase);
	const sink = new VersionSink(clock);
	const stopper = new AbortController();
	const task = new ControlFollower({
		hostId: 'e1', zone: 'a', clock, getTimeOfDayMs: () => clock.now(), random, logger: createLogger('test', 'fatal'), peers: hosts, sink,
	}).run(stopper.signal);
	const committed: Array<{readonly version: number; readonly atMs: number; readonly bytes: number}> = [];
	for (const {atMs, routes} of linkCase.changes) {
		await clock.run(atMs - clock.now());
		const version = committed.length + 1;
		const source = createSource(version, routes, random);
		hosts.commit({version, source});
		committed.push({version, atMs, bytes: Buffer.byteLength(source)});
	}

	await clock.run(SPAN_MS - clock.now());
	stopper.abort();
	await clock.run(2000);
	await task;
	const delaysMs = committed.map(({version, atMs}) => (sink.inForce.find(other => other.version >= version)?.atMs ?? Number.POSITIVE_INFINITY) - atMs);
	return {delaysMs, isWhole: sink.inForce.every(({version, bytes}) => committed.find(other => other.version === version)?.bytes === bytes)};
}

function repeatChanges(count: number, gapMs: number, routes: number): readonly Change[] {
	return Array.from({length: count}, (_, i) => ({atMs: 3000 + (i * gapMs), routes}));
}

const cases: readonly LinkCase[] = [
	{name: 'many routes at once', changes: [{atMs: 100, routes: 20}, {atMs: 3000, routes: 3600}]},
	{name: 'many routes beside the answers to callers', changes: [{atMs: 100, routes: 20}, {atMs: 3000, routes: 1800}], callersShare: 0.6},
	{name: 'a change each 330 ms with many routes', changes: [{atMs: 100, routes: 1400}, ...repeatChanges(12, 330, 1400)], callersShare: 0.5},
	{name: 'a change each 60 ms with many routes', changes: [{atMs: 100, routes: 2800}, ...repeatChanges(25, 60, 2800)]},
	{name: 'a host that starts with many routes', changes: [{atMs: 0, routes: 12_000}]},
	{name: 'a link that stands still while a change arrives', changes: [{atMs: 100, routes: 20}, {atMs: 3000, routes: 6000}], cut: {fromMs: 3100, untilMs: 4300}},
];

describe('ControlFollower on a narrow link', () => {
	for (const linkCase of cases) {
		// Guards against a host that never gets a change whose configuration takes longer to arrive than a poll may take.
		it(`puts changes into force in time: ${linkCase.name}`, async () => {
			const {delaysMs, isWhole} = await play(linkCase);
			expect(Math.max(...delaysMs)).to.be.below(APPLY_MS);
			expect(isWhole).to.equal(true);
		});
	}
});
