import {expect} from 'chai';
import type {FleetCommand, ProposeOutcome} from '../src/types.js';
import {type Process, SimCluster} from './support/sim-cluster.js';

const HOSTS = ['a', 'b', 'c', 'd', 'e', 'f'];
const CONFIG: FleetCommand = {kind: 'putTraffic', traffic: {version: 7, source: '{}'}};

function addMember(id: string): FleetCommand {
	return {
		kind: 'addMember', member: {
			id, zone: 'z1', region: 'r', address: '127.0.0.1:1', voter: true,
		}, requestId: `add ${id}`, author: id,
	};
}

function removeMember(memberId: string): FleetCommand {
	return {
		kind: 'removeMember', memberId, requestId: `remove ${memberId}`, author: memberId,
	};
}

function getVoterIds({node}: Process): readonly string[] {
	return node.status().members.filter(({role}) => role === 'voter').map(({id}) => id).toSorted();
}

/** Proposes a command to whichever member leads until it is committed. */
async function commit(cluster: SimCluster, command: FleetCommand): Promise<void> {
	let outcome: ProposeOutcome<unknown> | undefined;
	while (outcome?.kind !== 'committed') {
		const leader = [...cluster.processes.values()].find(({node}) => node.status().role === 'leader');
		outcome = await leader?.node.propose(command);
		await cluster.clock.sleep(20);
	}
}

/** Starts all hosts; those that are no initial members request membership. */
async function startFleet(seed: number, minVoters: number): Promise<SimCluster> {
	const cluster = new SimCluster({seed, minVoters});
	for (const id of HOSTS) {
		cluster.start(id);
	}

	return cluster;
}

describe('number of voters', () => {
	// Guards against an acknowledgement on two or three disks while two of them may be lost at once.
	it('is at least the required one before the first change is acknowledged, which then survives the loss of two disks', async () => {
		for (let seed = 1; seed <= 6; seed++) {
			const cluster = await startFleet(seed, 5);
			const joined = ['d', 'e', 'f'].map(async id => commit(cluster, addMember(id)));
			await cluster.runUntilSettled(commit(cluster, CONFIG));
			const lost = new Set(getVoterIds(await cluster.waitForLeader()).slice(0, 2));
			for (const id of HOSTS) {
				cluster[lost.has(id) ? 'wipe' : 'crash'](id);
			}

			for (const id of HOSTS) {
				cluster.start(id);
			}

			const leader = await cluster.waitForLeader();
			expect(leader.state.getTraffic()?.version, `seed ${seed}`).to.equal(7);
			await cluster.runUntilSettled(Promise.all(joined));
			cluster.stopAll();
		}
	});

	// Guards against an order that is never acknowledged because a seed is lost before it has become a voter.
	it('does not hold up changes forever while a host is missing', async () => {
		const cluster = new SimCluster({seed: 1, minVoters: 3});
		cluster.startAll();
		await cluster.clock.runUntil(() => cluster.processes.get('a')?.node.status().members.length === 3, 5000);
		cluster.crash('c');
		await cluster.runUntilSettled(commit(cluster, CONFIG));
		expect(getVoterIds(await cluster.waitForLeader())).to.deep.equal(['a', 'b']);
		cluster.stopAll();
	});

	// Guards against two hosts that stop at once and both leave, after which the loss of one disk ends the log.
	it('stays at the required one when two members are removed at once', async () => {
		const cluster = await startFleet(3, 3);
		await cluster.runUntilSettled(commit(cluster, addMember('d')));
		const leader = await cluster.waitForLeader(process => getVoterIds(process).length === 4);
		const [first = '', second = ''] = getVoterIds(leader).filter(id => id !== leader.node.status().memberId);
		await cluster.runUntilSettled(Promise.all([commit(cluster, removeMember(first)), commit(cluster, removeMember(second))]));
		await cluster.clock.run(3000);
		expect(getVoterIds(leader)).to.have.length(3);
		cluster.stopAll();
	});

	// Guards against a removal that leaves the required number of voters by name, but not of running ones.
	it('counts only voters that answer when a member is removed', async () => {
		const cluster = await startFleet(3, 3);
		await cluster.runUntilSettled(commit(cluster, addMember('d')));
		const leader = await cluster.waitForLeader(process => getVoterIds(process).length === 4);
		const [leaving = '', down = ''] = getVoterIds(leader).filter(id => id !== leader.node.status().memberId);
		cluster.crash(down);
		await cluster.clock.run(1000);
		await cluster.runUntilSettled(commit(cluster, removeMember(leaving)));
		await cluster.clock.run(3000);
		expect(getVoterIds(leader)).to.have.length(4);
		cluster.start(down);
		await cluster.clock.run(3000);
		expect(getVoterIds(await cluster.waitForLeader())).to.not.include(leaving);
		cluster.stopAll();
	});
});
