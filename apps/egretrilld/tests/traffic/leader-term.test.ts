import {createLogger, createRandom, ManualClock} from '@egretrill/common';
import {
	EngineOrders, type EngineReport, HostSpeeds, type LoadOrderOutcome, TargetRegistry,
} from '@egretrill/engines';
import type {ConsensusStatus} from '@egretrill/hosts';
import {expect} from 'chai';
import {
	createSpeedReport, EntryReport, fromSpeedPlan, LeaderPlan, LeaderTerm,
} from '../../src/traffic/index.js';

class NoOrders extends EngineOrders {
	override async send(): Promise<LoadOrderOutcome> {
		return 'not-sent';
	}

	override async getReport(): Promise<EngineReport | undefined> {
		return undefined;
	}
}

/** An array that counts the items visited by iteration. */
class CountedList<T> extends Array<T> {
	static visited = 0;

	override * [Symbol.iterator](): ArrayIterator<T> {
		for (let i = 0; i < this.length; i++) {
			CountedList.visited += 1;
			yield this[i]!;
		}
	}
}

const status: ConsensusStatus = {
	memberId: 'c', identity: 'c', role: 'leader', term: 1, lastIndex: 1, commitIndex: 1, appliedIndex: 1, snapshotIndex: 0, members: [],
};

function createTerm(clock: ManualClock): LeaderTerm {
	return new LeaderTerm({
		clock,
		random: createRandom(7),
		logger: createLogger('test', 'fatal'),
		watch: {recordPlan: () => undefined},
		node: {isLeaderWithLease: () => true, status: () => status, propose: async () => ({kind: 'unknown'})},
		state: {getCrashes: () => []},
		getTimeOfDayMs: () => clock.now(),
		registry: new TargetRegistry(clock, 'r'),
		orders: new NoOrders(),
		hostId: 'c',
		term: 1,
		orderLeaseMs: 1000,
		getZonesOut: () => [],
		getClasses: () => new Map(),
		getCustomers: () => new Map(),
		getEntryHosts: () => [],
		putEntryHosts: async () => true,
	});
}

function report(hostId: string, running: EntryReport['running']): EntryReport {
	return {
		hostId, startId: 's', running, adapters: [], arrivals: [], waiting: [], rates: {ackedSerial: 0, standing: 0, demand: []},
	};
}

describe('LeaderTerm', () => {
	// Guards against hosts that choose a full target because the requests of others are not counted, or none because the requests of a stopped host still count.
	it('returns the running requests of the other hosts to each host', () => {
		const clock = new ManualClock();
		const term = createTerm(clock);
		const results = [
			term.handleReport(report('h1', [['t1', 2], ['t2', 1]])).others,
			term.handleReport(report('h2', [['t1', 3]])).others,
			term.handleReport(report('h3', [['t1', 1], ['t1', 1]])).others,
			term.handleReport(report('h1', [['t2', 4]])).others,
			term.handleReport(report('h2', [])).others,
		];
		clock.advance(1000);
		results.push(term.handleReport(report('h2', [['t3', 1]])).others);
		clock.advance(600);
		results.push(term.handleReport(report('h3', [])).others, term.handleReport(report('h1', [['t1', 1]])).others, term.handleReport(report('h2', [])).others);
		expect(results.map(others => others.toSorted(([first], [second]) => first.localeCompare(second)))).toMatchSnapshot();
	});

	// Guards against speeds that only the host knows that has measured them, that are sent with every poll, or that a build without them has to read.
	it('merges the speeds of targets that hosts measure, and tells each host once', () => {
		const clock = new ManualClock();
		const term = createTerm(clock);
		const hosts = [new HostSpeeds(clock), new HostSpeeds(clock)];
		const poll = (host: HostSpeeds): unknown => {
			const speeds = createSpeedReport(host);
			const plan = LeaderPlan.parse(term.handleReport(EntryReport.parse({...report('h', []), ...(speeds && {speeds})})));
			if (plan.speeds) {
				host.apply(fromSpeedPlan(plan.speeds));
			}

			return plan.speeds?.changed.map(([targetId, , percent]) => `${targetId} ${percent}`);
		};

		const inactive = hosts.map(host => poll(host));
		for (const [i, targetSpeed] of [0.6, 1, 1.6].entries()) {
			hosts[0]!.recordSlowdown('s', 1);
			for (let stream = 0; stream < 20; stream += 1) {
				hosts[0]!.recordStream({
					service: 's', targetId: `t${i}`, startedAtMs: 1, model: 'm', events: 30, durationMs: 1350 / targetSpeed, slowdown: 1,
				});
			}
		}

		hosts[1]!.recordSlowdown('s', 1);
		const polls = [poll(hosts[0]!), poll(hosts[0]!), poll(hosts[1]!), poll(hosts[1]!)];
		expect({
			inactive, polls, ofOtherHost: hosts[1]!.getSpeed('t2', 1), ofTerm: term.speeds.getSpeed('t2', 1)?.toFixed(2),
		}).toMatchSnapshot();
	});

	// Guards against a leader that is blocked because it adds up the running requests of all hosts at each report.
	it('processes a report without iterating over the running requests of all hosts', () => {
		const count = (hosts: number): number => {
			const term = createTerm(new ManualClock());
			const running = (): EntryReport['running'] => CountedList.from(Array.from({length: 10}, (_, i): [string, number] => [`t${i}`, 1]));
			for (let i = 0; i < hosts; i++) {
				term.handleReport(report(`h${i}`, running()));
			}

			CountedList.visited = 0;
			term.handleReport(report('h0', running()));
			return CountedList.visited;
		};

		expect({of8: count(8), of80: count(80)}).toMatchSnapshot();
	});

	// Guards against a host that hears nothing of the shortage of the others, and against figures for hosts of earlier builds, which cannot read them.
	it('returns what waits on all hosts to the hosts that report their queues', () => {
		const clock = new ManualClock();
		const term = createTerm(clock);
		const queue: EntryReport['queue'] = {waiting: [['s', 'm', [[1, 250, 2, 0, 3]]]], slots: [['s', 'm', 4]]};
		clock.advance(2000);
		term.handleReport({...report('h1', []), queue});
		clock.advance(100);
		expect({
			current: term.handleReport({...report('h2', []), queue: {waiting: [], slots: []}}).shortage,
			earlier: term.handleReport(report('h3', [])).shortage,
		}).toMatchSnapshot();
	});
});
