import type {Registration} from '@egretrill/common';
import {expect} from 'chai';
import {DISTURBANCES} from './support/disturbances.js';
import {SimControlFleet} from './support/sim-control-fleet.js';

/** A machine counts as lost for this long after it has started with an empty disk. */
const CATCH_UP_MS = 4000;
/** Time within which a fleet serves again once all machines are back. */
const RECOVERY_MS = 12_000;
const DOWN_MS = 1000;
const ZONE = 'z1';

type Size = {readonly machines: number; readonly hostIds: readonly string[]};

const SMALL: Size = {machines: 1, hostIds: ['a:1', 'b:1', 'c:1']};
const SIZES: readonly Size[] = [
	SMALL,
	{machines: 2, hostIds: ['a:1', 'b:1', 'c:1', 'd:1', 'e:1', 'f:1']},
];

async function createFleet(seed: number, size: Size): Promise<SimControlFleet> {
	const fleet = new SimControlFleet({seed, ...size});
	await fleet.startAll();
	await fleet.cluster.clock.run(CATCH_UP_MS);
	return fleet;
}

function getVoterIds(fleet: SimControlFleet): readonly string[] {
	return fleet.cluster.getLeader()?.node.status().members.filter(({role}) => role === 'voter').map(({id}) => id) ?? [];
}

/** Loses the disks of some hosts and the power of all others at the same moment, and starts all of them again. */
async function loseAtOnce(fleet: SimControlFleet, wipedIds: readonly string[]): Promise<void> {
	const ids = fleet.runningIds;
	for (const id of ids) {
		fleet.lose(id, wipedIds.includes(id) ? 'wipe' : 'crash');
	}

	await fleet.cluster.clock.run(DOWN_MS);
	for (const id of ids) {
		void fleet.start(id);
	}
}

/** Brings the fleet into the situation in which the loss strikes. Each ends once the machines concerned no longer count as lost. */
type Situation = (fleet: SimControlFleet) => Promise<void>;

async function replaceUnplanned(fleet: SimControlFleet, lostId: string): Promise<void> {
	fleet.lose(lostId, 'wipe');
	await fleet.cluster.clock.run(1000);
	void fleet.start('new:1');
	await fleet.cluster.clock.run(CATCH_UP_MS);
}

const SITUATIONS: Readonly<Record<string, Situation>> = {
	async 'all members run'() {
		// The fleet is as it was created.
	},
	async 'the leader has come back with an empty disk'(fleet) {
		const id = fleet.getLeaderId();
		fleet.lose(id, 'wipe');
		await fleet.cluster.clock.run(3000);
		void fleet.start(id);
		await fleet.cluster.clock.run(CATCH_UP_MS);
	},
	async 'a follower is gone and an empty one has come at another address'(fleet) {
		await replaceUnplanned(fleet, fleet.getFollowerIds()[0] ?? '');
	},
	async 'the leader is gone and an empty one has come at another address'(fleet) {
		await replaceUnplanned(fleet, fleet.getLeaderId());
	},
	async 'a follower was replaced as planned'(fleet) {
		const id = fleet.getFollowerIds()[0] ?? '';
		void fleet.start('new:1');
		await fleet.cluster.clock.run(1000);
		void fleet.stop(id);
		await fleet.cluster.clock.run(CATCH_UP_MS - 1000);
	},
	async 'the leader was replaced as planned'(fleet) {
		const id = fleet.getLeaderId();
		void fleet.start('new:1');
		await fleet.cluster.clock.run(2000);
		void fleet.stop(id);
		await fleet.cluster.clock.run(CATCH_UP_MS - 2000);
	},
	async 'every host was replaced, one after the other'(fleet) {
		for (const [i, id] of fleet.runningIds.entries()) {
			void fleet.start(`new${i}:1`);
			await fleet.cluster.clock.run(1000);
			await fleet.cluster.runUntilSettled(fleet.stop(id));
			await fleet.cluster.clock.run(CATCH_UP_MS);
		}
	},
	async 'all processes were killed'(fleet) {
		const ids = fleet.runningIds;
		for (const id of ids) {
			fleet.lose(id, 'kill');
		}

		await fleet.cluster.clock.run(900);
		for (const id of ids) {
			void fleet.start(id);
		}

		await fleet.cluster.clock.run(CATCH_UP_MS);
	},
};

/** Chooses the disks that are lost; `ids` are the running hosts, those that have run longest first. */
type Choice = (fleet: SimControlFleet, ids: readonly string[], machines: number) => readonly string[];

const CHOICES: Readonly<Record<string, Choice>> = {
	'the oldest disks': (_fleet, ids, machines) => ids.slice(0, machines),
	'the newest disks': (_fleet, ids, machines) => ids.slice(-machines),
	'the leader and others': (fleet, ids, machines) => [fleet.getLeaderId(), ...ids.filter(id => id !== fleet.getLeaderId())].slice(0, machines),
	'no disks': () => [],
};

/** Describes what an operator finds within the time for recovery. */
async function describeRecovery(fleet: SimControlFleet): Promise<{version: number | undefined; zonesOut: readonly string[] | undefined}> {
	const {cluster} = fleet;
	await cluster.clock.runUntil(() => cluster.getLeader() !== undefined, RECOVERY_MS);
	const state = cluster.getLeader()?.state;
	return {version: state?.getTraffic()?.version, zonesOut: state?.getZonesOut()};
}

/** Times from the sending of an order to the loss: all of them, and those that are played while something else happens. */
const LOSS_DELAYS_MS = [...Array.from({length: 12}, (_, i) => i * 5), 60, 100, 140, 180, 220, 260, 300, 340, 380];
const FEW_LOSS_DELAYS_MS = [5, 15, 25, 50, 400];

type WatchedOrder = {readonly settled: Promise<void>; readonly isAcknowledged: () => boolean};

function watch(sent: Promise<void>): WatchedOrder {
	let isAcknowledged = false;
	const settle = async (): Promise<void> => {
		await sent;
		isAcknowledged = true;
	};

	return {settled: settle(), isAcknowledged: () => isAcknowledged};
}

type ShownState = {readonly version: number; readonly zonesOut: readonly string[]};

/** Runs the fleet for some time and returns the states that hosts which may answer reads have shown. */
async function collectStates(fleet: SimControlFleet, ms: number): Promise<readonly ShownState[]> {
	const {cluster} = fleet;
	const states = new Map<string, ShownState>();
	const endMs = cluster.clock.now() + ms;
	while (cluster.clock.now() < endMs) {
		await cluster.clock.run(10);
		for (const {node, state} of cluster.processes.values()) {
			if (node.isLeaderWithLease()) {
				const shown = {version: state.getTraffic()?.version ?? 0, zonesOut: state.getZonesOut()};
				states.set(JSON.stringify(shown), shown);
			}
		}
	}

	return [...states.values()];
}

describe('what a control host acknowledged', () => {
	for (const size of SIZES) {
		for (const [situation, bringAbout] of Object.entries(SITUATIONS)) {
			// Guards against an acknowledgement that too few disks back up, and against members of which too few remain to elect a leader.
			it(`survives the loss of ${size.machines} of ${size.hostIds.length} disks and the power of all others when ${situation}`, async () => {
				for (const [i, [choice, choose]] of Object.entries(CHOICES).entries()) {
					const fleet = await createFleet(i + 1, size);
					await bringAbout(fleet);
					await fleet.cluster.runUntilSettled(fleet.setZoneService(ZONE, false));
					await fleet.cluster.runUntilSettled(fleet.put(5));
					await loseAtOnce(fleet, choose(fleet, fleet.runningIds, size.machines));
					expect(await describeRecovery(fleet), choice).to.deep.equal({version: 5, zonesOut: [ZONE]});
					await fleet.cluster.runUntilSettled(fleet.put(5));
					fleet.cluster.stopAll();
				}
			});
		}

		for (const [i, [disturbance, disturb]] of Object.entries(DISTURBANCES).entries()) {
			// Guards against an acknowledgement before enough disks have synced the change: the loss comes at any moment after its sending.
			it(`survives the loss of ${size.machines} of ${size.hostIds.length} disks 0 to 400 ms after the order was sent when ${disturbance}`, async () => {
				for (const delayMs of i === 0 ? LOSS_DELAYS_MS : FEW_LOSS_DELAYS_MS) {
					const fleet = await createFleet(delayMs + 1, size);
					await disturb(fleet, size.machines);
					const orders = [fleet.put(5), fleet.setZoneService(ZONE, false)].map(sent => watch(sent));
					await fleet.cluster.clock.run(delayMs);
					const [isPut = false, isOut = false] = orders.map(order => order.isAcknowledged());
					// A host that has left counts among the lost ones.
					const goneCount = size.hostIds.filter(id => !fleet.runningIds.includes(id)).length;
					await loseAtOnce(fleet, CHOICES['the leader and others']?.(fleet, fleet.runningIds, size.machines - goneCount) ?? []);
					await fleet.cluster.clock.runUntil(() => fleet.cluster.getLeader() !== undefined, RECOVERY_MS);
					const shown = await collectStates(fleet, 1000);
					const isOld = (state: ShownState): boolean => (isPut && state.version < 5) || (isOut && !state.zonesOut.includes(ZONE));
					expect({count: Math.min(1, shown.length), old: shown.filter(state => isOld(state))}, `after ${delayMs} ms`).to.deep.equal({count: 1, old: []});
					await fleet.cluster.runUntilSettled(Promise.all(orders.map(async ({settled}) => settled)));
					fleet.cluster.stopAll();
				}
			});
		}
	}
});

async function collectVersions(fleet: SimControlFleet, ms: number): Promise<ReadonlySet<number>> {
	const states = await collectStates(fleet, ms);
	return new Set(states.map(({version}) => version));
}

describe('while a minority of the control hosts is cut off', () => {
	for (const size of SIZES) {
		// Guards against an older configuration from a minority that missed a change, joined by a host that lost its disk with that change.
		it(`no older state is shown after the loss of ${size.machines} of ${size.hostIds.length} disks and the end of the cut`, async () => {
			for (let seed = 1; seed <= 4; seed++) {
				const fleet = await createFleet(seed, size);
				const [behind = '', ...others] = fleet.runningIds.filter(id => seed % 2 === 0 || id !== fleet.getLeaderId());
				fleet.cluster.isolate(behind);
				await fleet.cluster.runUntilSettled(fleet.put(5));
				const rest = fleet.runningIds.filter(id => id !== behind);
				const wipedIds = others.slice(0, size.machines);
				for (const id of rest) {
					fleet.lose(id, wipedIds.includes(id) ? 'wipe' : 'crash');
				}

				fleet.cluster.blockedLinks.clear();
				for (const id of wipedIds) {
					void fleet.start(id);
				}

				const duringLoss = await collectVersions(fleet, 5000);
				for (const id of rest.filter(other => !wipedIds.includes(other))) {
					void fleet.start(id);
				}

				const afterLoss = await collectVersions(fleet, RECOVERY_MS);
				expect([duringLoss, afterLoss], `seed ${seed}`).to.deep.equal([new Set(), new Set([5])]);
				fleet.cluster.stopAll();
			}
		});
	}
});

async function stopLater(fleet: SimControlFleet, id: string): Promise<void> {
	await fleet.cluster.clock.sleep(1000);
	await fleet.stop(id);
}

describe('while the set of members changes, what a control host acknowledged', () => {
	// Guards against members of which no majority comes back when the power fails between two steps of a change.
	it('survives the loss of the power of all hosts at any moment', async () => {
		for (let delayMs = 0; delayMs < CATCH_UP_MS; delayMs += 90) {
			const fleet = await createFleet(delayMs + 1, SMALL);
			const isPlanned = delayMs % 180 === 0;
			const id = delayMs % 360 < 180 ? fleet.getLeaderId() : (fleet.getFollowerIds()[0] ?? '');
			if (isPlanned) {
				void fleet.start('new:1');
				void stopLater(fleet, id);
			} else {
				fleet.lose(id, 'wipe');
				void fleet.start('new:1');
			}

			await fleet.cluster.clock.run(delayMs);
			await fleet.cluster.runUntilSettled(fleet.put(5));
			await loseAtOnce(fleet, []);
			const {version} = await describeRecovery(fleet);
			expect(version, `${isPlanned ? 'planned' : 'unplanned'}, after ${delayMs} ms`).to.equal(5);
			fleet.cluster.stopAll();
		}
	});
});

describe('planned replacement of a control host', () => {
	// Guards against a stopped host that stays a voter, so that the loss of the oldest disk right after it leaves two voters of four.
	it('ends the old host only after the new one has become a voter', async () => {
		for (const [seed, pauseMs] of [[1, 300], [2, 1000], [3, 1700], [4, 2500]] as const) {
			const fleet = await createFleet(seed, SMALL);
			void fleet.start('d:1');
			await fleet.cluster.clock.run(pauseMs);
			await fleet.cluster.runUntilSettled(fleet.stop('a:1'));
			await loseAtOnce(fleet, ['b:1']);
			const isBack = await fleet.cluster.clock.runUntil(() => fleet.cluster.getLeader() !== undefined, RECOVERY_MS);
			expect({isBack, traffic: fleet.cluster.getLeader()?.state.getTraffic()?.version}, `seed ${seed}`).to.deep.equal({isBack: true, traffic: 1});
			fleet.cluster.stopAll();
		}
	});
});

const HEARTBEAT_MS = 1200;
/** Time from the start of the hosts until they serve targets to entry hosts that know none. */
const MAX_SETTLING_MS = 5000;

function createRegistration(targetId: string, sequence: number): Registration {
	return {
		targetId, startedAtMs: 1, sequence, service: 's', address: `127.0.0.1:${targetId.length}`, zone: ZONE, slots: 4, isLeaving: false, coldForMs: 0, models: [], inMemory: [], onDisk: [],
	};
}

/** Runs the fleet from the loss on while one target registers and a registration of one that has left arrives late; returns what the hosts serve and since when. */
async function observeTargets(fleet: SimControlFleet, lateMs: number): Promise<{left: boolean; servedMs: number}> {
	const {clock} = fleet.cluster;
	const startMs = clock.now();
	let isLeftServed = false;
	let servedMs = Number.POSITIVE_INFINITY;
	for (let ms = 0; ms < RECOVERY_MS; ms += 100) {
		const ids = fleet.runningIds;
		const id = ids[ms / 100 % ids.length] ?? '';
		if (ms % HEARTBEAT_MS === 0) {
			fleet.register(id, createRegistration('running', 2 + (ms / HEARTBEAT_MS)));
		}

		if (ms === lateMs) {
			fleet.register(id, createRegistration('left', 2));
		}

		await clock.run(100);
		const served = fleet.runningIds.map(other => fleet.getServedIds(other));
		isLeftServed ||= served.some(targets => targets.includes('left'));
		const isServed = served.length > 0 && served.every(targets => targets.includes('running'));
		servedMs = Math.min(servedMs, isServed ? clock.now() - startMs : Number.POSITIVE_INFINITY);
	}

	return {left: isLeftServed, servedMs};
}

describe('a target that has left', () => {
	for (const size of SIZES) {
		// Guards against a target whose leaving was acknowledged and that no host knows any more as gone when one of its registrations arrives late.
		it(`is not used again after the loss of ${size.machines} of ${size.hostIds.length} disks and the power of all others`, async () => {
			for (const [i, [choice, choose]] of Object.entries(CHOICES).entries()) {
				for (const lateMs of [800, 3000]) {
					const fleet = await createFleet(i + 1, size);
					for (const id of fleet.runningIds) {
						fleet.register(id, createRegistration('left', 1));
						fleet.register(id, createRegistration('running', 1));
					}

					await fleet.cluster.runUntilSettled(fleet.depart('left'));
					await loseAtOnce(fleet, choose(fleet, fleet.runningIds, size.machines));
					const {left, servedMs} = await observeTargets(fleet, lateMs);
					expect({left, isServed: servedMs <= MAX_SETTLING_MS}, `${choice}, late registration after ${lateMs} ms, served after ${servedMs} ms`).to.deep.equal({left: false, isServed: true});
					fleet.cluster.stopAll();
				}
			}
		});
	}
});
