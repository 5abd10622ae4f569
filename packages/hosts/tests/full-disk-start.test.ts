import {expect} from 'chai';
import type {FleetCommand} from '../src/types.js';
import {
	CATCH_UP_MS, createCluster, describeStates, fill, free, FULL_MS, getProcess, isFullyFormed, MAX_TRIES, propose, SEED,
} from './support/full-disk.js';
import {SimCluster} from './support/sim-cluster.js';

describe('a process that starts on a full disk', () => {
	const addMember: FleetCommand = {
		kind: 'addMember', member: {
			id: 'd', zone: 'z1', region: 'r', address: '127.0.0.1:1', voter: true,
		}, requestId: 'add d', author: 'ops',
	};

	// Guards against a process that ends as often as it is started while the disk is full.
	it('waits for room with an empty folder, and is then added', async () => {
		const {cluster, leader} = await createCluster();
		cluster.start('d', []);
		const added = getProcess(cluster, 'd');
		fill(added);
		await propose(cluster, leader, 'second');
		await cluster.runUntilSettled(leader.node.propose(addMember));
		await cluster.clock.run(FULL_MS);
		const {lastIndex, identity, role} = added.node.status();
		expect({lastIndex, identity, role}).to.deep.equal({lastIndex: 0, identity: '', role: 'learner'});
		expect(added.fileSystem.refusedWrites).to.be.within(2, MAX_TRIES);
		expect(leader.node.isLeaderWithLease()).to.equal(true);
		free(added);
		await cluster.waitForLeader(process => isFullyFormed(process) && process.node.status().members.length === 4);
		await cluster.clock.run(CATCH_UP_MS);
		expect(describeStates(cluster).size).to.equal(1);
		cluster.stopAll();
	});

	// Guards against a new voter that has stored nothing.
	it('remains a learner while its disk fills after its start', async () => {
		const {cluster, leader} = await createCluster();
		cluster.start('d', []);
		await cluster.clock.run(100);
		const added = getProcess(cluster, 'd');
		fill(added);
		await cluster.runUntilSettled(leader.node.propose(addMember));
		await cluster.clock.run(FULL_MS);
		expect(leader.node.status().members.find(({id}) => id === 'd')?.role).to.equal('learner');
		free(added);
		await cluster.waitForLeader(process => isFullyFormed(process) && process.node.status().members.length === 4);
		cluster.stopAll();
	});

	// Guards against voters that are missing although all that they need is on their disks.
	it('takes part at once with an intact log, as far as nothing has to be stored', async () => {
		const {cluster, leader, leaderId, followerIds: [full = '', other = '']} = await createCluster();
		cluster.crash(full);
		cluster.start(full);
		fill(getProcess(cluster, full));
		await cluster.clock.run(500);
		cluster.isolate(other);
		await cluster.clock.run(FULL_MS);
		const {role, leaderId: followed, appliedIndex} = getProcess(cluster, full).node.status();
		expect([role, followed, appliedIndex, leader.node.isLeaderWithLease()]).to.deep.equal(['follower', leaderId, leader.node.status().appliedIndex, true]);
		cluster.stopAll();
	});

	// Guards against a process that cannot be stopped while it waits.
	for (const way of ['signal', 'stop'] as const) {
		it(`ends when it is stopped (${way}) while it waits for room`, async () => {
			const cluster = new SimCluster({seed: SEED, initialMembers: []});
			const stopper = new AbortController();
			cluster.start('d', [], stopper.signal);
			const {node, fileSystem} = getProcess(cluster, 'd');
			fill(getProcess(cluster, 'd'));
			await cluster.clock.run(1000);
			const tries = fileSystem.refusedWrites;
			if (way === 'stop') {
				await node.stop();
			} else {
				stopper.abort();
			}

			await cluster.clock.run(1000);
			expect([tries > 1, fileSystem.refusedWrites]).to.deep.equal([true, tries]);
			await node.stop();
			expect(node.status().role).to.equal('stopped');
		});
	}

	// Guards against a vote that is forgotten, or a log that counts as empty, since a message came before the files were read.
	it('answers no message before it has read its log', async () => {
		const {cluster, leader, followerIds: [id = '']} = await createCluster();
		const {term} = leader.node.status();
		cluster.crash(id);
		cluster.start(id);
		const {node} = getProcess(cluster, id);
		const early = await cluster.runUntilSettled(Promise.allSettled([node.handleAppendEntries({
			leaderId: 'z', term: 1, prevIndex: 0, prevTerm: 0, entries: [], commitIndex: 0,
		})]));
		cluster.isolate(id);
		await cluster.clock.run(100);
		expect([early[0].status, node.status().term]).to.deep.equal(['rejected', term]);
		cluster.stopAll();
	});

	// Guards against a fleet that is never founded because the disk of one of its hosts was full at the first start.
	for (const full of ['a', 'b']) {
		it(`founds the log once the disk of ${full} has room`, async () => {
			const cluster = new SimCluster({seed: SEED});
			cluster.startAll();
			fill(getProcess(cluster, full));
			await cluster.clock.run(FULL_MS);
			expect([...cluster.processes.values()].map(({node}) => node.status().lastIndex)).to.deep.equal([0, 0, 0]);
			free(getProcess(cluster, full));
			const leader = await cluster.waitForLeader(isFullyFormed);
			const outcome = await propose(cluster, leader, 'first');
			expect(outcome.kind).to.equal('committed');
			cluster.stopAll();
		});
	}

	// Guards against a founder that ends, or founds a second log, when its disk fills before the first entry is stored.
	it('founds the log once the founder, which has stored its identity, has room', async () => {
		const cluster = new SimCluster({seed: SEED});
		cluster.startAll();
		await cluster.clock.runUntil(() => getProcess(cluster, 'a').node.status().identity !== '', 1000);
		await cluster.clock.run(50);
		fill(getProcess(cluster, 'a'));
		await cluster.clock.run(FULL_MS);
		free(getProcess(cluster, 'a'));
		const leader = await cluster.waitForLeader(isFullyFormed);
		await propose(cluster, leader, 'first');
		await cluster.clock.run(CATCH_UP_MS);
		expect(describeStates(cluster).size).to.equal(1);
		cluster.stopAll();
	});
});
