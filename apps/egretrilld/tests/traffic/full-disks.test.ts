import {expect} from 'chai';
import {SimControlFleet} from './support/sim-control-fleet.js';

const HOST_IDS = ['a:1', 'b:1', 'c:1'];
const LARGE_HOST_IDS = [...HOST_IDS, 'd:1', 'e:1', 'f:1'];
const FULL_MS = 3000;
/** Shortest and longest time from one full disk to the next. */
const MIN_APART_MS = 5000;
const MAX_APART_MS = 7000;
const CHANGE_INTERVAL_MS = 500;
/** Interval at which a disk is found to belong to a new process. */
const PROCESS_CHECK_MS = 5;
/** Longest wait for an acknowledgement: an election, while all other members have room. */
const ELECTION_LIMIT_MS = 4000;
/** The same when a member is missing, so that the others need the one without room: the rest of its time, and an election. */
const MISSING_LIMIT_MS = FULL_MS + ELECTION_LIMIT_MS;
const CATCH_UP_MS = 4000;
const RECOVERY_MS = 12_000;
const DOWN_MS = 1000;
const ZONE = 'z1';

type Size = {readonly machines: number; readonly hostIds: readonly string[]};

async function createFleet(seed: number, size: Size): Promise<SimControlFleet> {
	const fleet = new SimControlFleet({seed, ...size});
	await fleet.startAll();
	await fleet.cluster.clock.run(CATCH_UP_MS);
	return fleet;
}

/** An operator who sends a change every half second and keeps each until it is acknowledged. */
class Operator {
	readonly waitsMs: number[] = [];
	lastVersion = 1;
	private readonly pending: Array<Promise<void>> = [];

	constructor(private readonly fleet: SimControlFleet) {}

	async run(ms: number): Promise<void> {
		const {clock} = this.fleet.cluster;
		const endMs = clock.now() + ms;
		while (clock.now() < endMs) {
			this.lastVersion += 1;
			this.pending.push(this.put(this.lastVersion));
			await clock.run(CHANGE_INTERVAL_MS);
		}
	}

	async waitForAcknowledgements(): Promise<void> {
		await this.fleet.cluster.runUntilSettled(Promise.all(this.pending));
	}

	private async put(version: number): Promise<void> {
		const {clock} = this.fleet.cluster;
		const startedMs = clock.now();
		await this.fleet.put(version);
		this.waitsMs.push(clock.now() - startedMs);
	}
}

function setDiskFull(fleet: SimControlFleet, id: string, isFull: boolean): void {
	const process = fleet.cluster.processes.get(id);
	if (process) {
		process.fileSystem.fault = isFull ? 'full' : undefined;
	}
}

/** Fills the disk of one host for three seconds, also for a process that starts meanwhile. */
async function fillDisk(fleet: SimControlFleet, id: string): Promise<void> {
	const {clock} = fleet.cluster;
	const endMs = clock.now() + FULL_MS;
	while (clock.now() < endMs) {
		setDiskFull(fleet, id, true);
		await clock.sleep(PROCESS_CHECK_MS);
	}

	setDiskFull(fleet, id, false);
}

function getApartMs(fleet: SimControlFleet): number {
	return MIN_APART_MS + (fleet.cluster.random() * (MAX_APART_MS - MIN_APART_MS));
}

/** What else happens while the disk of the host `fullId` is full. */
type Disturbance = {readonly limitMs: number; readonly cause: (fleet: SimControlFleet, turn: number, fullId: string) => void};

async function stopLater(fleet: SimControlFleet, id: string): Promise<void> {
	await fleet.cluster.clock.sleep(DOWN_MS);
	await fleet.stop(id);
}

/** The host whose disk fills last. */
function getLastId(fleet: SimControlFleet): string {
	return fleet.runningIds.at(-1) ?? '';
}

const DISTURBANCES: Readonly<Record<string, Disturbance>> = {
	'nothing else happens': {
		limitMs: ELECTION_LIMIT_MS,
		cause() {
			// Only disks fill.
		},
	},
	'a member is replaced as planned': {
		limitMs: ELECTION_LIMIT_MS,
		cause(fleet, turn) {
			if (turn === 0) {
				const id = getLastId(fleet);
				void fleet.start('new:1');
				void stopLater(fleet, id);
			}
		},
	},
	'a member is lost and replaced by an empty one': {
		limitMs: MISSING_LIMIT_MS,
		cause(fleet, turn) {
			if (turn === 0) {
				fleet.lose(getLastId(fleet), 'wipe');
				void fleet.start('new:1');
			}
		},
	},
	'the leader is lost and comes back empty': {
		limitMs: MISSING_LIMIT_MS,
		cause(fleet, turn) {
			const id = fleet.cluster.getLeader()?.node.status().memberId;
			if (turn === 1 && id !== undefined) {
				fleet.lose(id, 'wipe');
				void fleet.start(id);
			}
		},
	},
	'the full host loses its power and starts on the full disk': {
		limitMs: ELECTION_LIMIT_MS,
		cause(fleet, _turn, fullId) {
			fleet.lose(fullId, 'crash');
			void fleet.start(fullId);
		},
	},
	'the full host comes back with an empty folder on a full disk': {
		limitMs: ELECTION_LIMIT_MS,
		cause(fleet, turn, fullId) {
			if (turn === 0) {
				fleet.lose(fullId, 'wipe');
				void fleet.start(fullId);
			}
		},
	},
};

/** Loses the power of all hosts at the same moment and starts them again. */
async function losePower(fleet: SimControlFleet): Promise<void> {
	const ids = fleet.runningIds;
	for (const id of ids) {
		fleet.lose(id, 'crash');
	}

	await fleet.cluster.clock.run(DOWN_MS);
	for (const id of ids) {
		void fleet.start(id);
	}

	await fleet.cluster.clock.runUntil(() => fleet.cluster.getLeader() !== undefined, RECOVERY_MS);
}

function countStopped(fleet: SimControlFleet): number {
	return [...fleet.cluster.processes.values()].filter(({node}) => node.status().role === 'stopped').length;
}

/** Fills the disks of all hosts in turn while an operator sends changes; returns the longest wait for an acknowledgement. */
async function fillInTurn(fleet: SimControlFleet, operator: Operator, {cause}: Disturbance): Promise<number> {
	const filledIds: string[] = [];
	for (let id = fleet.runningIds[0]; id !== undefined; id = fleet.runningIds.find(other => !filledIds.includes(other))) {
		void fillDisk(fleet, id);
		cause(fleet, filledIds.length, id);
		filledIds.push(id);
		await operator.run(getApartMs(fleet));
	}

	await operator.waitForAcknowledgements();
	return Math.max(...operator.waitsMs);
}

const SIZES: ReadonlyArray<Size & {readonly seeds: readonly number[]}> = [
	{machines: 1, hostIds: HOST_IDS, seeds: [1, 2, 3, 4, 5, 6]},
	{machines: 2, hostIds: LARGE_HOST_IDS, seeds: [1, 2]},
];

describe('a fleet whose disks are full for three seconds each, one after the other', () => {
	for (const {seeds, ...size} of SIZES) {
		for (const [name, disturbance] of Object.entries(DISTURBANCES)) {
			// Guards against changes that stay unanswered after the last disk has room again, since the members have ended one by one.
			it(`acknowledges each change within seconds and keeps it with ${size.hostIds.length} hosts while ${name}`, async () => {
				for (const seed of seeds) {
					const fleet = await createFleet(seed, size);
					await fleet.cluster.runUntilSettled(fleet.setZoneService(ZONE, false));
					const operator = new Operator(fleet);
					const waitMs = await fillInTurn(fleet, operator, disturbance);
					expect(waitMs, `longest wait, seed ${seed}`).to.be.below(disturbance.limitMs);
					expect(countStopped(fleet), `members that ended, seed ${seed}`).to.equal(0);
					await losePower(fleet);
					const state = fleet.cluster.getLeader()?.state;
					expect([state?.getTraffic()?.version, state?.getZonesOut()], `seed ${seed}`).to.deep.equal([operator.lastVersion, [ZONE]]);
					fleet.cluster.stopAll();
				}
			});
		}
	}
});
