import {setMaxListeners} from 'node:events';
import {
	createLogger, createRandom, ManualClock, type TrafficSource,
} from '@egretrill/common';
import type {ControlHost, Method, PeerCallError} from '@egretrill/hosts';
import {expect} from 'chai';
import {Result} from 'true-myth';
import {
	ControlFollower, getReportedLeaderId, type LeaderPlan, type SyncResponse, type SyncSink,
} from '../../src/traffic/index.js';
import {CountingSink} from './support/counting-sink.js';

const plan: LeaderPlan = {
	others: [], expected: [], rates: {
		serial: 1, standing: 1, leased: [], hostCount: 1,
	},
};

/** Control hosts with answers set by the test. */
class FakeControlHosts {
	readonly polledIds: string[] = [];

	constructor(private readonly answers: Readonly<Record<string, Partial<SyncResponse>>>, private readonly clock: ManualClock) {}

	getOthers(): readonly ControlHost[] {
		return Object.keys(this.answers).map(id => ({id}));
	}

	setKnownHosts(): void {
		this.polledIds.push('-');
	}

	async call<Req, Res>(hostId: string, _method: Method<Req, Res>, _req: Req): Promise<Result<Res, PeerCallError>> {
		this.polledIds.push(hostId);
		await this.clock.sleep(20);
		const answer: SyncResponse = {
			controls: [], zonesOut: [], registry: {
				origin: 'o', revision: 1, isWhole: false, targets: [],
			}, ...this.answers[hostId],
		};
		return Result.ok(answer as Res);
	}
}

/** Lets an entry host poll the control hosts for some time, then stops it; returns the hosts that it polled. */
async function poll(peers: FakeControlHosts, clock: ManualClock, {sink, forMs}: {readonly sink: SyncSink; readonly forMs: number}): Promise<readonly string[]> {
	const follower = new ControlFollower({
		hostId: 'e1', zone: 'a', clock, getTimeOfDayMs: () => clock.now(), random: () => 0.5, logger: createLogger('test', 'fatal'), peers, sink,
	});
	const stopper = new AbortController();
	const task = follower.run(stopper.signal);
	await clock.run(forMs);
	stopper.abort();
	await clock.run(500);
	await task;
	return peers.polledIds.filter(id => id !== '-');
}

describe('ControlFollower', () => {
	// Guards against an entry host that keeps polling a deposed leader in a minority, which still reports itself as leader and has no newer configuration.
	it('stops polling a host that reports itself as leader without a plan', async () => {
		const clock = new ManualClock();
		const peers = new FakeControlHosts({old: {leaderId: 'old'}, new: {leaderId: 'new', plan}}, clock);
		const sink = new CountingSink();
		const polled = await poll(peers, clock, {sink, forMs: 1000});
		expect({first: polled.slice(0, 4), last: polled.at(-1), hasPlans: sink.plans > 5}).toMatchSnapshot();
	});
});

class RecordingSink extends CountingSink {
	readonly versions: number[] = [];
	readonly zonesOut = new Set<string>();

	override applyConfig(config?: TrafficSource): void {
		this.versions.push(config?.version ?? 0);
	}

	override applyTargets(_update?: SyncResponse['registry'], zonesOut: readonly string[] = []): void {
		this.zonesOut.add(zonesOut.join(' '));
	}
}

describe('ControlFollower without a leader', () => {
	// Guards against an entry host that sends requests to a zone out of service, or goes back to an older configuration, because a restarted or cut-off control host answers.
	it('keeps the newest state of the log, whichever host answers', async () => {
		const clock = new ManualClock();
		const peers = new FakeControlHosts({
			newest: {stateIndex: 9, zonesOut: ['z1'], config: {version: 7, source: '{}'}},
			behind: {stateIndex: 4, config: {version: 3, source: '{}'}},
			replaying: {},
		}, clock);
		const sink = new RecordingSink();
		await poll(peers, clock, {sink, forMs: 1000});
		expect({versions: new Set(sink.versions), zonesOut: sink.zonesOut}).to.deep.equal({versions: new Set([7]), zonesOut: new Set(['z1'])});
	});
});

describe('ControlFollower of a host that has just started', () => {
	// Guards against restarted entry hosts that each send a cold target all that it bears, and retry as if they were alone, before a leader tells them of the others.
	it('tells how many entry hosts the log names until a leader counts them', async () => {
		const answers = [{entryHostCount: 8}, {entryHostCount: 8, leaderId: 'c1', plan}];
		const counts = await Promise.all(answers.map(async answer => {
			const clock = new ManualClock();
			const sink = new CountingSink();
			await poll(new FakeControlHosts({c1: answer}, clock), clock, {sink, forMs: 500});
			return new Set(sink.hostCounts);
		}));
		expect(counts).to.deep.equal([new Set([8]), new Set()]);
	});
});

describe('ControlFollower in a large fleet', () => {
	async function countPolls(hostCount: number): Promise<number> {
		const clock = new ManualClock();
		const peers = new FakeControlHosts({lead: {leaderId: 'lead', plan: {...plan, rates: {...plan.rates, hostCount}}}}, clock);
		const polled = await poll(peers, clock, {sink: new CountingSink(), forMs: 10_000});
		return polled.length / 10;
	}

	// Guards against a leader whose processor time is used up by polls, since every host of a large fleet polls at each change of any engine.
	it('polls less often with more hosts', async () => {
		const perHost = {few: await countPolls(8), eighty: await countPolls(80), many: await countPolls(300)};
		expect({perHost, leaderAtEighty: perHost.eighty * 80}).toMatchSnapshot();
	});
});

/** A leader that answers after 20 ms, except during a standstill. */
class StandingLeader extends FakeControlHosts {
	readonly polledMs: number[] = [];

	constructor(private readonly time: ManualClock, private readonly hostCount: number, private readonly standstill: {readonly fromMs: number; readonly untilMs: number}) {
		super({lead: {leaderId: 'lead', plan: {...plan, rates: {...plan.rates, hostCount}}}}, time);
	}

	override async call<Req, Res>(hostId: string, method: Method<Req, Res>, req: Req): Promise<Result<Res, PeerCallError>> {
		const nowMs = this.time.now();
		this.polledMs.push(nowMs);
		if (nowMs >= this.standstill.fromMs) {
			await this.time.sleep(this.standstill.untilMs - nowMs);
		}

		return super.call(hostId, method, req);
	}
}

describe('ControlFollowers of one leader', () => {
	// Guards against a leader that gets the polls of all hosts within milliseconds, for good, after it stood still once.
	it('do not stay in step after a standstill', async () => {
		const clock = new ManualClock();
		const random = createRandom(5);
		const hostCount = 80;
		const leader = new StandingLeader(clock, hostCount, {fromMs: 2000, untilMs: 2600});
		const stopper = new AbortController();
		setMaxListeners(0, stopper.signal);
		const tasks = Array.from({length: hostCount}, async (_, i) => new ControlFollower({
			hostId: `e${i}`, zone: 'a', clock, getTimeOfDayMs: () => clock.now(), random, logger: createLogger('test', 'fatal'), peers: leader, sink: new CountingSink(),
		}).run(stopper.signal));
		await clock.run(12_000);
		stopper.abort();
		await clock.run(500);
		await Promise.all(tasks);
		const lastMs = leader.polledMs.filter(atMs => atMs >= 11_000);
		const mostWithin10Ms = Math.max(...lastMs.map(fromMs => lastMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 10).length));
		expect(mostWithin10Ms).to.be.below(hostCount / 4);
	});
});

describe('getReportedLeaderId', () => {
	const observation = {
		hostId: 'me', isMember: true, isLeading: false, logLeaderId: undefined, hintedLeaderId: undefined,
	};

	// Guards against a deposed leader that still reports itself, because another host reported it as leader before they were partitioned.
	it('reports this host only while it leads', () => {
		expect({
			leading: getReportedLeaderId({...observation, isLeading: true, logLeaderId: 'me'}),
			withoutLease: getReportedLeaderId({...observation, logLeaderId: 'me'}),
			ownHint: getReportedLeaderId({...observation, hintedLeaderId: 'me'}),
			otherHint: getReportedLeaderId({...observation, hintedLeaderId: 'you'}),
			logBeforeHint: getReportedLeaderId({...observation, logLeaderId: 'you', hintedLeaderId: 'old'}),
			outsider: getReportedLeaderId({
				...observation, isMember: false, logLeaderId: 'old', hintedLeaderId: 'you',
			}),
		}).toMatchSnapshot();
	});
});
