import {KeyLease} from '@egretrill/callers';
import {createRandom, ManualClock, TimeMark} from '@egretrill/common';
import {ProcessClock} from '@egretrill/hosts/testing';
import {expect} from 'chai';
import {SimControlFleet} from './support/sim-control-fleet.js';

const HOST_IDS = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1'];
const ENTRY_COUNT = 4;
const SEEDS = [3, 5, 7, 11, 13, 17, 19, 23];
/** Time after the acknowledgement of a withdrawal in which a key must end, and the lease that keeps it. */
const REVOKE_MS = 2000;
const LEASE_MS = 1900;
const USUAL_LEASE_MS = 4800;
const POLL_INTERVAL_MS = 100;
const POLL_TIMEOUT_MS = 900;
const CHECK_INTERVAL_MS = 20;
const CHANGE_INTERVAL_MS = 500;
const FAULT_COUNT = 14;
const MAX_FAULT_MS = 3500;

/** An entry host that polls control hosts at random and holds a lease on the keys. */
class SimEntry {
	version = 0;
	invalidChecks = 0;
	readonly clock: ProcessClock;
	readonly lease: KeyLease;
	private isFrozen = false;

	constructor(private readonly id: string, private readonly fleet: SimControlFleet, leaseMs: number) {
		this.clock = new ProcessClock(fleet.cluster.clock);
		this.lease = new KeyLease(() => leaseMs);
	}

	async run(signal: AbortSignal): Promise<void> {
		const {cluster} = this.fleet;
		while (!signal.aborted) {
			const controlId = HOST_IDS[Math.floor(cluster.random() * HOST_IDS.length)] ?? '';
			const mark = new TimeMark(this.clock, () => cluster.clock.now());
			const answer = await Promise.race([this.poll(controlId), this.expire()]);
			this.version = Math.max(this.version, answer?.version ?? 0);
			if (answer?.confirmed && this.version >= answer.confirmed.version) {
				this.lease.renew(mark, answer.confirmed.ageMs);
			}

			await this.clock.sleep(POLL_INTERVAL_MS);
		}
	}

	freeze(how: 'pause' | 'suspend'): void {
		this.isFrozen = true;
		this.clock[how]();
	}

	thaw(): void {
		this.clock.resume();
		this.isFrozen = false;
	}

	/** Whether the host serves requests with keys now. */
	serves(): boolean {
		const isServing = !this.isFrozen && this.lease.isValid();
		this.invalidChecks += Number(!isServing);
		return isServing;
	}

	private async poll(controlId: string): Promise<ReturnType<SimControlFleet['getConfirmed']>> {
		try {
			const answer = await this.fleet.cluster.send(this.id, controlId, async () => this.fleet.getConfirmed(controlId));
			await this.clock.sleep(0);
			return answer;
		} catch {
			// The control host does not run.
			return undefined;
		}
	}

	private async expire(): Promise<undefined> {
		await this.clock.sleep(POLL_TIMEOUT_MS);
		return undefined;
	}
}

type Fault = (fleet: SimControlFleet, entries: readonly SimEntry[], pick: (count: number) => number) => () => void;

function cut(fleet: SimControlFleet, from: readonly string[], to: readonly string[]): () => void {
	const links = from.flatMap(first => to.flatMap(second => [`${first}>${second}`, `${second}>${first}`]));
	for (const link of links) {
		fleet.cluster.blockedLinks.add(link);
	}

	return () => {
		for (const link of links) {
			fleet.cluster.blockedLinks.delete(link);
		}
	};
}

function suspend(fleet: SimControlFleet, id: string, how: 'pause' | 'suspend'): () => void {
	const clock = fleet.cluster.processes.get(id)?.clock;
	clock?.[how]();
	return () => {
		clock?.resume();
	};
}

const FAULTS: readonly Fault[] = [
	// The leader with one follower is cut off from the majority, but not from the entry hosts.
	(fleet, _entries, pick) => {
		const leaderId = fleet.getLeaderId();
		const followers = HOST_IDS.filter(id => id !== leaderId);
		const minority = [leaderId, followers[pick(followers.length)] ?? ''];
		return cut(fleet, minority, HOST_IDS.filter(id => !minority.includes(id)));
	},
	(fleet, _entries, pick) => cut(fleet, [HOST_IDS[pick(HOST_IDS.length)] ?? ''], HOST_IDS),
	(fleet, _entries, pick) => cut(fleet, [`entry-${pick(ENTRY_COUNT)}`], HOST_IDS.slice(0, 1 + pick(HOST_IDS.length))),
	fleet => suspend(fleet, fleet.getLeaderId(), 'suspend'),
	(fleet, _entries, pick) => suspend(fleet, HOST_IDS[pick(HOST_IDS.length)] ?? '', 'pause'),
	(_fleet, entries, pick) => {
		const entry = entries[pick(ENTRY_COUNT)];
		entry?.freeze(pick(2) === 0 ? 'pause' : 'suspend');
		return () => entry?.thaw();
	},
	(fleet, _entries, pick) => {
		const id = pick(2) === 0 ? fleet.getLeaderId() : HOST_IDS[pick(HOST_IDS.length)] ?? '';
		fleet.lose(id, 'kill');
		return () => {
			if (!fleet.runningIds.includes(id)) {
				void fleet.start(id);
			}
		};
	},
];

class History {
	static async create(seed: number, leaseMs: number): Promise<History> {
		const fleet = new SimControlFleet({seed, hostIds: HOST_IDS, machines: 2});
		await fleet.startAll();
		await fleet.cluster.clock.run(4000);
		const entries = Array.from({length: ENTRY_COUNT}, (_, i) => new SimEntry(`entry-${i}`, fleet, leaseMs));
		const history = new History(fleet, entries, seed);
		for (const entry of entries) {
			void entry.run(history.ended.signal);
		}

		void history.change();
		await fleet.cluster.clock.run(500);
		return history;
	}

	readonly violations: string[] = [];
	changes = 0;
	private readonly acknowledged: Array<{readonly version: number; readonly atMs: number}> = [];
	private readonly ended = new AbortController();
	private readonly random: () => number;

	private constructor(private readonly fleet: SimControlFleet, readonly entries: readonly SimEntry[], seed: number) {
		this.random = createRandom(seed + 1000);
	}

	async run(ms: number): Promise<void> {
		for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += CHECK_INTERVAL_MS) {
			await this.fleet.cluster.clock.run(CHECK_INTERVAL_MS);
			this.check();
		}
	}

	async runFault(fault: Fault): Promise<void> {
		const pick = (count: number): number => Math.floor(this.random() * count);
		const end = fault(this.fleet, this.entries, pick);
		await this.run(this.random() * MAX_FAULT_MS);
		end();
		await this.run(this.random() * 500);
	}

	async runFaults(): Promise<void> {
		for (let i = 0; i < FAULT_COUNT; i++) {
			await this.runFault(FAULTS[Math.floor(this.random() * FAULTS.length)]!);
		}
	}

	async killLeader(): Promise<void> {
		this.fleet.lose(this.fleet.getLeaderId(), 'kill');
		await this.run(MAX_FAULT_MS);
	}

	end(): void {
		this.ended.abort();
		this.fleet.cluster.stopAll();
	}

	private async change(): Promise<void> {
		while (!this.ended.signal.aborted) {
			this.changes += 1;
			const version = this.changes + 1;
			await this.fleet.put(version);
			this.acknowledged.push({version, atMs: this.fleet.cluster.clock.now()});
			await this.fleet.cluster.clock.sleep(CHANGE_INTERVAL_MS);
		}
	}

	private check(): void {
		const nowMs = this.fleet.cluster.clock.now();
		const due = this.acknowledged.findLast(({atMs}) => atMs + REVOKE_MS < nowMs)?.version ?? 0;
		for (const [i, entry] of this.entries.entries()) {
			if (entry.serves() && entry.version < due) {
				this.violations.push(`entry ${i} serves keys of version ${entry.version} at ${Math.round(nowMs)} ms, ${due} is due`);
			}
		}
	}
}

describe('leases on the keys of callers', () => {
	// Guards against a host that serves a withdrawn key after its time because a deposed, suspended or cut-off control host has renewed the lease.
	for (const seed of SEEDS) {
		it(`end before a withdrawn key must, seed ${seed}`, async () => {
			const history = await History.create(seed, LEASE_MS);
			await history.runFaults();
			history.end();
			expect({violations: history.violations, hasChanges: history.changes > FAULT_COUNT, hasServed: history.entries.every(({invalidChecks}) => invalidChecks < 1500)}).to.deep.equal({violations: [], hasChanges: true, hasServed: true});
		});
	}

	// Guards against callers that are refused in calm times, or because the leader has changed.
	it('cost no refusal in calm times and beside a change of the leader', async () => {
		const history = await History.create(29, USUAL_LEASE_MS);
		await history.run(5000);
		await history.killLeader();
		history.end();
		expect(history.entries.map(({invalidChecks}) => invalidChecks)).to.deep.equal([0, 0, 0, 0]);
	});

	// Guards against a lease that a suspension or a step of the time of day prolongs.
	it('count the time that the clock or the time of day has counted', () => {
		const clock = new ManualClock();
		let offsetMs = 0;
		const lease = new KeyLease(() => LEASE_MS);
		const valid = [lease.isValid()];
		const renew = (ageMs: number): void => {
			lease.renew(new TimeMark(clock, () => clock.now() + offsetMs), ageMs);
			valid.push(lease.isValid());
		};

		renew(0);
		offsetMs = 2000;
		valid.push(lease.isValid());
		renew(500);
		offsetMs = -60_000;
		clock.advance(1300);
		valid.push(lease.isValid());
		renew(1500);
		clock.advance(500);
		valid.push(lease.isValid());
		expect(valid).to.deep.equal([false, true, false, true, true, true, false]);
	});
});
