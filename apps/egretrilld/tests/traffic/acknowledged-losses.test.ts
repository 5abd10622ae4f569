import {expect} from 'chai';
import {SimControlFleet} from './support/sim-control-fleet.js';

/** A machine counts as lost for this long after it has started with an empty disk. */
const CATCH_UP_MS = 4000;
/** Time within which a fleet serves again once all machines are back. */
const RECOVERY_MS = 12_000;
const DOWN_MS = 1000;

type Size = {readonly machines: number; readonly hostIds: readonly string[]};

const SIZES: readonly Size[] = [
	{machines: 1, hostIds: ['a:1', 'b:1', 'c:1']},
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

describe('planned replacement of a control host', () => {
	// Guards against a stopped host that stays a voter, so that the loss of the oldest disk right after it leaves two voters of four.
	it('ends the old host only after the new one has become a voter', async () => {
		for (const [seed, pauseMs] of [[1, 300], [2, 1000], [3, 1700], [4, 2500]] as const) {
			const fleet = await createFleet(seed, SIZES[0] ?? {machines: 1, hostIds: []});
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
