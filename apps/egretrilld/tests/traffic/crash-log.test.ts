import {
	answerCrashReport, CrashExchange, CrashGate, CrashTracker, EVIDENCE_TTL_MS, FIRST_PROBE_DELAY_MS, getPartKeys, getRequestKey, type RankedKey,
} from '@egretrill/callers';
import {createLogger} from '@egretrill/common';
import {type Process, SimCluster} from '@egretrill/hosts/testing';
import {expect} from 'chai';
import {CrashLog} from '../../src/crash-log.js';
import {getServedState} from '../../src/traffic/index.js';

const SEED = 5;
const HOSTS = ['h1', 'h2'];
const POLL_MS = 100;
const DOWN_MS = 1000;
/** Time from the start of all hosts until they serve again. */
const RECOVERY_MS = 12_000;
const ENDS = 3;
const END_INTERVAL_MS = 300;

const requestKey = getRequestKey('f', 4);
const partKeys = getPartKeys(['part', 'own']);
const logger = createLogger('test', 'fatal');

type Entry = {readonly tracker: CrashTracker; readonly gate: CrashGate; readonly exchange: CrashExchange};
type Leader = {readonly tracker: CrashTracker; readonly crashLog: CrashLog; readonly stopper: AbortController};

/** Entry hosts that exchange their evidence with the leader of a simulated log. */
class CrashFleet {
	readonly cluster = new SimCluster({seed: SEED});
	entries: readonly Entry[] = [];
	/** Entries of the log that hold evidence. */
	stores = 0;
	private readonly leaders = new Map<Process, Leader>();
	private starts = 0;

	async start(): Promise<void> {
		this.cluster.startAll();
		await this.cluster.waitForLeader(({node}) => node.status().members.every(({role}) => role === 'voter'));
		await this.cluster.runUntilSettled(this.cluster.getLeader()!.node.propose({kind: 'putTraffic', traffic: {version: 1, source: '{}'}}));
		this.startEntries();
	}

	/** Starts the entry hosts without any memory; each gets its configuration from any control host that serves one. */
	startEntries(): void {
		const {clock} = this.cluster;
		this.starts += 1;
		this.entries = HOSTS.map(host => {
			const tracker = new CrashTracker(clock, `${host}-${this.starts}`);
			const gate = new CrashGate(clock, tracker);
			return {tracker, gate, exchange: new CrashExchange(tracker, gate)};
		});
	}

	/** Records that targets end at one host after the other while requests with the keys wait there. */
	async crash(keys: readonly RankedKey[]): Promise<void> {
		for (let i = 0; i < ENDS; i++) {
			this.entries[i % HOSTS.length]!.tracker.recordEnd(keys, `t${i}@1`);
			await this.run(END_INTERVAL_MS);
		}
	}

	/** Lets the entry hosts poll the leader. */
	async run(ms: number): Promise<void> {
		for (let passedMs = 0; passedMs < ms; passedMs += POLL_MS) {
			for (const entry of this.entries) {
				void this.poll(entry);
			}

			await this.cluster.clock.run(POLL_MS);
		}
	}

	/** Ends control hosts, some with their disks, and starts them again. */
	async loseControls(ids: readonly string[], wipedIds: readonly string[] = []): Promise<void> {
		for (const id of ids) {
			this.leaders.get(this.cluster.processes.get(id)!)?.stopper.abort();
			this.cluster[wipedIds.includes(id) ? 'wipe' : 'crash'](id);
		}

		await this.cluster.clock.run(DOWN_MS);
		for (const id of ids) {
			this.cluster.start(id, []);
		}
	}

	/** Asks for a probe at each host for a while; returns how many are granted. */
	async countProbes(ms: number): Promise<number> {
		const granted: string[] = [];
		const allowProbe = (key: string): void => {
			granted.push(key);
		};

		for (const {gate} of this.entries) {
			gate.allowProbe = allowProbe;
			gate.getProbeCandidates = () => [requestKey.key];
		}

		await this.run(ms);
		return granted.length;
	}

	private async poll({tracker, exchange}: Entry): Promise<void> {
		const leader = this.getLeader();
		if (!leader) {
			const [served] = [...this.cluster.processes.values()].map(process => getServedState({node: process.node, state: process.state, getTimeOfDayMs: () => this.cluster.clock.now()}, {configVersion: 0}));
			tracker.mergeShared(served?.crashes ?? []);
			return;
		}

		const report = exchange.createReport();
		leader.tracker.mergeReport(report.records);
		exchange.applyAnswer(answerCrashReport(leader.tracker, report, await leader.crashLog.grantProbes(report)));
	}

	/** The tracker of the leader; a new leader begins without evidence of its own. */
	private getLeader(): Leader | undefined {
		const process = this.cluster.getLeader();
		if (!process?.node.isLeaderWithLease()) {
			return undefined;
		}

		const known = this.leaders.get(process);
		if (known) {
			return known;
		}

		const {clock} = this.cluster;
		const {state} = process;
		const node = {
			isLeaderWithLease: () => process.node.isLeaderWithLease(),
			propose: async (...args: Parameters<typeof process.node.propose>) => {
				this.stores += 1;
				return process.node.propose(...args);
			},
		};
		const tracker = new CrashTracker(clock, `leader-${this.leaders.size}-${clock.now()}`);
		const leader = {
			tracker,
			crashLog: new CrashLog({
				clock, logger, tracker, node, state, getTimeOfDayMs: () => clock.now(),
			}),
			stopper: new AbortController(),
		};
		this.leaders.set(process, leader);
		void leader.crashLog.run(leader.stopper.signal);
		return leader;
	}
}

/** What is lost at the same moment. */
const losses: Readonly<Record<string, (fleet: CrashFleet) => Promise<void>>> = {
	async 'all hosts'(fleet) {
		fleet.startEntries();
		await fleet.loseControls([...fleet.cluster.processes.keys()]);
	},
	async 'all hosts and the disk of the leader'(fleet) {
		fleet.startEntries();
		await fleet.loseControls([...fleet.cluster.processes.keys()], [fleet.cluster.getLeader()!.node.status().memberId]);
	},
	async 'all control hosts'(fleet) {
		await fleet.loseControls([...fleet.cluster.processes.keys()]);
	},
	async 'the leader and all entry hosts'(fleet) {
		fleet.startEntries();
		await fleet.loseControls([fleet.cluster.getLeader()!.node.status().memberId]);
	},
	async 'all entry hosts'(fleet) {
		fleet.startEntries();
	},
	async 'nothing'() {
		// The evidence stays where it is.
	},
};

describe('the evidence on what ends targets', () => {
	for (const [loss, lose] of Object.entries(losses)) {
		for (const [kind, keys] of Object.entries({'a request': [requestKey], 'a prompt part': partKeys})) {
			// Guards against a request that ends further targets after the loss of the processes that knew it.
			it(`keeps ${kind} refused after the loss of ${loss}`, async () => {
				const fleet = new CrashFleet();
				await fleet.start();
				await fleet.crash(keys);
				await fleet.run(1000);
				await lose(fleet);
				await fleet.run(RECOVERY_MS);
				const verdicts = fleet.entries.map(({tracker}) => tracker.getVerdict(keys[0]!.key));
				expect({verdicts, hasFewStores: fleet.stores <= 2 * ENDS}).to.deep.equal({verdicts: ['blocked', 'blocked'], hasFewStores: true});
				fleet.cluster.stopAll();
			});
		}
	}

	// Guards against a probe for each loss of all hosts, each of which may end another target.
	it('grants no probe again that was granted before a loss of all hosts', async () => {
		const fleet = new CrashFleet();
		await fleet.start();
		await fleet.crash([requestKey]);
		await fleet.run(FIRST_PROBE_DELAY_MS);
		const before = await fleet.countProbes(3000);
		await losses['all hosts']!(fleet);
		expect([before, await fleet.countProbes(RECOVERY_MS)]).to.deep.equal([1, 0]);
		fleet.cluster.stopAll();
	});

	// Guards against probes that are granted while no majority can store them.
	it('grants no probe that the log does not confirm', async () => {
		const fleet = new CrashFleet();
		await fleet.start();
		await fleet.crash([requestKey]);
		await fleet.run(FIRST_PROBE_DELAY_MS);
		for (const id of fleet.cluster.processes.keys()) {
			fleet.cluster.isolate(id);
		}

		expect(await fleet.countProbes(3000)).to.equal(0);
		fleet.cluster.stopAll();
	});

	// Guards against a block that a restart renews for ever.
	it('lapses after a loss as it does without', async () => {
		const fleet = new CrashFleet();
		await fleet.start();
		await fleet.crash([requestKey]);
		await fleet.run(1000);
		await losses['all hosts']!(fleet);
		await fleet.cluster.clock.run(EVIDENCE_TTL_MS);
		await fleet.run(1000);
		expect(fleet.entries.map(({tracker}) => tracker.getVerdict(requestKey.key))).to.deep.equal(['sound', 'sound']);
		fleet.cluster.stopAll();
	});
});
