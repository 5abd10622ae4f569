import {expect} from 'chai';
import {
	APPEND_TIMEOUT_MS, COMPACTION_THRESHOLD_BYTES, type FleetCommand, LEADER_LEASE_MS, type Members, MIN_ELECTION_TIMEOUT_MS, RETAINED_LOG_BYTES, SNAPSHOT_TIMEOUT_MS,
} from '../src/index.js';
import {createApply} from './support/documents.js';
import {type Process, SimCluster} from './support/sim-cluster.js';

const SEED = 11;
const LARGE_ENTRY_BYTES = 2_000_000;
const LARGE_ENTRIES = 20;

function describeMembers(members: Members): string {
	return members.map(member => `${member.id}:${member.role}`).toSorted().join(' ');
}

function describeCluster(cluster: SimCluster): unknown {
	return [...cluster.processes].toSorted(([a], [b]) => a.localeCompare(b)).map(([id, {node, state}]) => {
		const status = node.status();
		const {version, digest} = state.getConfig();
		return `${id} ${status.role} term ${status.term}, leader ${status.leaderId ?? 'unknown'}, config ${version} ${digest}, members ${describeMembers(status.members)}`;
	});
}

function isFullyFormed(process: Process): boolean {
	const {members, commitIndex, lastIndex} = process.node.status();
	return members.length >= 3 && members.every(member => member.role === 'voter') && commitIndex === lastIndex;
}

async function createCluster(seed = SEED): Promise<{cluster: SimCluster; leader: Process; leaderId: string}> {
	const cluster = new SimCluster({seed});
	cluster.startAll();
	const leader = await cluster.waitForLeader(isFullyFormed);
	return {cluster, leader, leaderId: leader.node.status().memberId};
}

function getOtherMember(cluster: SimCluster, ...ids: readonly string[]): string {
	return cluster.initialMembers.find(id => !ids.includes(id)) ?? '';
}

async function apply(cluster: SimCluster, leader: Process, name: string): Promise<unknown> {
	return cluster.runUntilSettled(leader.node.propose(createApply(leader.state.getConfig().version, name)));
}

async function applyMany(cluster: SimCluster, leader: Process, count: number): Promise<void> {
	for (let i = 0; i < count; i++) {
		await apply(cluster, leader, String(i));
	}
}

/** Waits until the followers have received the last commit index, even if a lost call has to time out first. */
async function waitForCatchUp(cluster: SimCluster): Promise<void> {
	await cluster.clock.run(APPEND_TIMEOUT_MS + 1000);
}

describe('replicated log', () => {
	it('bootstraps a new fleet once every member has answered, and makes all of them voters', async () => {
		const cluster = new SimCluster({seed: SEED});
		cluster.start('a');
		cluster.start('b');
		await cluster.clock.run(10_000);
		expect(describeCluster(cluster)).toMatchSnapshot();
		cluster.start('c');
		await apply(cluster, await cluster.waitForLeader(isFullyFormed), 'first');
		await waitForCatchUp(cluster);
		expect(describeCluster(cluster)).toMatchSnapshot();
		cluster.stopAll();
	});

	it('expires the lease of an isolated leader before another member leads, and drops its uncommitted change', async () => {
		const {cluster, leader, leaderId} = await createCluster();
		cluster.isolate(leaderId);
		const uncommittedOutcome = leader.node.propose(createApply(0, 'lost'));
		await cluster.clock.run(501);
		const isEarlyLeader = [...cluster.processes.values()].some(process => process.node.isLeaderWithLease());
		const newLeader = await cluster.waitForLeader();
		const committedOutcome = await apply(cluster, newLeader, 'kept');
		cluster.blockedLinks.clear();
		await waitForCatchUp(cluster);
		expect([isEarlyLeader, await cluster.runUntilSettled(uncommittedOutcome), committedOutcome, describeCluster(cluster)]).toMatchSnapshot();
		cluster.stopAll();
	});

	// Guards against a fleet that is unavailable for an election timeout after all its members were killed.
	it('elects a leader soon after all members have restarted, but not before an old lease has expired', async () => {
		const electionTimesMs: number[] = [];
		for (let seed = 1; seed <= 8; seed++) {
			const {cluster, leader} = await createCluster(seed);
			await apply(cluster, leader, 'first');
			await waitForCatchUp(cluster);
			for (const id of cluster.initialMembers) {
				cluster.crash(id);
			}

			cluster.startAll();
			const startedMs = cluster.clock.now();
			await cluster.waitForLeader();
			electionTimesMs.push(cluster.clock.now() - startedMs);
			cluster.stopAll();
		}

		expect(Math.min(...electionTimesMs), 'earliest').to.be.at.least(LEADER_LEASE_MS);
		expect(electionTimesMs.toSorted((a, b) => a - b)[4], 'median').to.be.below(MIN_ELECTION_TIMEOUT_MS);
	});

	// Guards against a negative age in the answers of a fleet with one voter: the other hosts reject them and never become ready.
	it('never reports a negative lease age when the clock advances between two readings on a sole voter', async () => {
		const cluster = new SimCluster({seed: SEED, initialMembers: ['a']});
		cluster.startAll();
		const leader = await cluster.waitForLeader();
		leader.clock.readMs = 0.01;
		expect(leader.node.leaseAgeMs()).to.be.within(0, 1);
		cluster.stopAll();
	});

	it('does not give a paused leader a lease when it resumes', async () => {
		const {cluster, leader, leaderId} = await createCluster();
		leader.clock.pause();
		const newLeader = await cluster.waitForLeader(process => process !== leader);
		await apply(cluster, newLeader, 'kept');
		leader.clock.resume();
		expect([leader.node.isLeaderWithLease(), leader.node.status().role]).to.deep.equal([false, 'leader']);
		await waitForCatchUp(cluster);
		expect([leader.node.status().role, leader.state.getConfig().digest, leaderId]).to.deep.equal(['follower', 'digest kept', leaderId]);
		cluster.stopAll();
	});

	// Guards against an older configuration in the answers of a deposed leader whose machine was suspended: its clock did not count that time.
	it('does not give a leader a lease when its machine resumes', async () => {
		const {cluster, leader} = await createCluster();
		leader.clock.suspend();
		const newLeader = await cluster.waitForLeader(process => process !== leader);
		await apply(cluster, newLeader, 'kept');
		leader.clock.resume();
		expect([leader.node.isLeaderWithLease(), leader.node.leaseAgeMs(), leader.node.status().role]).to.deep.equal([false, Number.POSITIVE_INFINITY, 'leader']);
		await waitForCatchUp(cluster);
		expect(leader.node.status().role).to.equal('follower');
		cluster.stopAll();
	});

	// Guards against elections after each step of the time of day, which looks like a resumed machine.
	it('renews the lease of a leader whose machine was suspended briefly', async () => {
		const {cluster, leader} = await createCluster();
		leader.clock.suspend();
		await cluster.clock.run(300);
		leader.clock.resume();
		const isLeadingAtOnce = leader.node.isLeaderWithLease();
		await cluster.clock.run(300);
		expect([isLeadingAtOnce, leader.node.isLeaderWithLease()]).to.deep.equal([false, true]);
		cluster.stopAll();
	});

	for (const fault of ['sync', 'write'] as const) {
		it(`stops a leader whose disk fails (${fault}) without acknowledging the change; the others continue`, async () => {
			const {cluster, leader} = await createCluster();
			await apply(cluster, leader, 'before');
			leader.fileSystem.fault = fault;
			const failed = await apply(cluster, leader, 'failed');
			const failure = await cluster.runUntilSettled(leader.node.waitUntilStopped());
			await apply(cluster, await cluster.waitForLeader(process => process !== leader), 'after');
			await waitForCatchUp(cluster);
			expect([failed, failure?.name, describeCluster(cluster)]).toMatchSnapshot();
			cluster.stopAll();
		});
	}

	// Guards against a leader that keeps its lease while its disk answers nothing, so that no change is acknowledged for seconds.
	it('replaces a leader whose disk stalls, and keeps the change that it could not write or drops it', async () => {
		const {cluster, leader} = await createCluster();
		leader.fileSystem.fault = 'stall';
		const startedMs = cluster.clock.now();
		const stalled = leader.node.propose(createApply(0, 'stalled'));
		const newLeader = await cluster.waitForLeader(process => process !== leader);
		const committed = await apply(cluster, newLeader, 'after');
		expect(cluster.clock.now() - startedMs).to.be.below(3500);
		const stalledOutcome = await cluster.runUntilSettled(stalled);
		leader.fileSystem.fault = undefined;
		await waitForCatchUp(cluster);
		expect([stalledOutcome, committed, describeCluster(cluster)]).toMatchSnapshot();
		cluster.stopAll();
	});

	// Guards against the same leader when the write that hangs is a change of the members.
	it('replaces a leader whose disk stalls while it changes the members', async () => {
		const {cluster, leader, leaderId} = await createCluster();
		const wiped = getOtherMember(cluster, leaderId);
		leader.fileSystem.fault = 'stall';
		cluster.wipe(wiped);
		cluster.start(wiped);
		await cluster.clock.run(3000);
		expect(leader.node.status().role).to.equal('follower');
		leader.fileSystem.fault = undefined;
		await cluster.waitForLeader(isFullyFormed);
		cluster.stopAll();
	});

	it('lets a voter with a wiped disk vote only after it has caught up under its new identity', async () => {
		const {cluster, leader, leaderId} = await createCluster();
		await apply(cluster, leader, 'first');
		const wiped = getOtherMember(cluster, leaderId);
		cluster.wipe(wiped);
		cluster.isolate(wiped);
		cluster.start(wiped);
		await cluster.clock.run(100);
		const {identity} = cluster.processes.get(wiped)?.node.status() ?? {};
		const voterIdentity = leader.node.status().members.find(member => member.id === wiped)?.identity ?? '';
		const candidate = {
			candidateId: leaderId, term: 9, preVote: false, lastIndex: 99, lastTerm: 9, voterIdentity,
		};
		const vote = await cluster.runUntilSettled(cluster.processes.get(wiped)?.node.handleRequestVote(candidate) ?? Promise.reject(new Error('not started')));
		expect([vote.granted, vote.identity === identity]).to.deep.equal([false, true]);
		cluster.blockedLinks.clear();
		await cluster.waitForLeader(process => process.node.status().members.some(member => member.id === wiped && member.role === 'learner'));
		await cluster.waitForLeader(process => isFullyFormed(process) && process.node.status().members.some(member => member.identity === identity));
		await waitForCatchUp(cluster);
		expect(describeCluster(cluster)).toMatchSnapshot();
		cluster.stopAll();
	});

	it('does not bootstrap a second log when the member that bootstrapped the first one loses its disk', async () => {
		const {cluster, leader} = await createCluster();
		await apply(cluster, leader, 'first');
		cluster.wipe('a');
		cluster.start('a');
		await cluster.waitForLeader(process => isFullyFormed(process) && process.node.status().memberId !== 'a');
		await waitForCatchUp(cluster);
		expect(describeCluster(cluster)).toMatchSnapshot();
		cluster.stopAll();
	});

	it('rejoins as a learner after a damaged record, and quarantines the damaged file', async () => {
		const {cluster, leader, leaderId} = await createCluster();
		await applyMany(cluster, leader, 3);
		const damaged = getOtherMember(cluster, leaderId);
		const identity = cluster.processes.get(damaged)?.node.status().identity;
		cluster.crash(damaged);
		const disk = cluster.disks.get(damaged);
		const bytes = await disk?.readFile('/data/log') ?? new Uint8Array();
		bytes[bytes.length >> 1] = (bytes[bytes.length >> 1] ?? 0) ^ 1; // eslint-disable-line no-bitwise
		cluster.start(damaged);
		await cluster.waitForLeader(process => isFullyFormed(process) && process.node.status().members.every(member => member.identity !== identity));
		await waitForCatchUp(cluster);
		expect([await disk?.readFile('/data/log.damaged') === bytes, describeCluster(cluster)]).toMatchSnapshot();
		cluster.stopAll();
	});

	it('survives the loss of the leader right after a wiped voter has caught up', async () => {
		const {cluster, leader, leaderId} = await createCluster();
		await applyMany(cluster, leader, 5);
		const wiped = getOtherMember(cluster, leaderId);
		const {identity: oldIdentity} = cluster.processes.get(wiped)?.node.status() ?? {};
		cluster.wipe(wiped);
		cluster.start(wiped);
		await cluster.waitForLeader(process => isFullyFormed(process) && process.node.status().members.every(member => member.identity !== oldIdentity));
		cluster.wipe(leaderId);
		await apply(cluster, await cluster.waitForLeader(process => process !== leader), 'after');
		await waitForCatchUp(cluster);
		expect(describeCluster(cluster)).toMatchSnapshot();
		cluster.stopAll();
	});

	// Guards against a log of large configurations that fills the memory of each member long before it has enough entries to be compacted.
	it('compacts the log after enough bytes, and brings a member that missed them up to date', async () => {
		const {cluster, leader, leaderId} = await createCluster();
		const isolatedId = getOtherMember(cluster, leaderId);
		cluster.isolate(isolatedId);
		const logBytes: number[] = [];
		for (let version = 1; version <= LARGE_ENTRIES; version++) {
			const source = `${version}`.padEnd(LARGE_ENTRY_BYTES, 'x');
			await cluster.runUntilSettled(leader.node.propose({kind: 'putTraffic', traffic: {version, source}}));
			const log = await cluster.disks.get(leaderId)?.readFile('/data/log');
			logBytes.push(log?.length ?? 0);
		}

		cluster.blockedLinks.clear();
		await cluster.clock.run(SNAPSHOT_TIMEOUT_MS);
		await waitForCatchUp(cluster);
		const versions = [...cluster.processes.values()].map(({state}) => state.getTraffic()?.version);
		expect([Math.max(...logBytes) <= COMPACTION_THRESHOLD_BYTES + RETAINED_LOG_BYTES + LARGE_ENTRY_BYTES, versions]).to.deep.equal([true, [LARGE_ENTRIES, LARGE_ENTRIES, LARGE_ENTRIES]]);
		cluster.stopAll();
	});

	it('installs a snapshot on a member that was isolated, while new entries are appended', async () => {
		const {cluster, leader, leaderId} = await createCluster();
		const isolatedId = getOtherMember(cluster, leaderId);
		cluster.isolate(isolatedId);
		await applyMany(cluster, leader, 400);
		cluster.blockedLinks.clear();
		await applyMany(cluster, leader, 100);
		await waitForCatchUp(cluster);
		cluster.crash(isolatedId);
		cluster.start(isolatedId);
		await waitForCatchUp(cluster);
		const {snapshotIndex} = cluster.processes.get(isolatedId)?.node.status() ?? {};
		expect([snapshotIndex, describeCluster(cluster)]).toMatchSnapshot();
		cluster.stopAll();
	});

	it('changes one member at a time, even if a leader loses its uncommitted membership change', async () => {
		const {cluster, leader, leaderId} = await createCluster();
		const addMember = (id: string): FleetCommand => ({
			kind: 'addMember', member: {
				id, zone: 'z1', region: 'r', address: '127.0.0.1:1', voter: true,
			}, requestId: `add ${id}`, author: 'ops',
		});
		cluster.start('d');
		cluster.start('e');
		await cluster.runUntilSettled(leader.node.propose(addMember('d')));
		await cluster.clock.runUntil(() => leader.node.status().members.length === 4, 5000);
		cluster.isolate(leaderId);
		const newLeader = await cluster.waitForLeader(process => process !== leader);
		await cluster.runUntilSettled(newLeader.node.propose(addMember('e')));
		cluster.blockedLinks.clear();
		await cluster.waitForLeader(process => isFullyFormed(process) && process.node.status().members.length === 5);
		const removed = getOtherMember(cluster, leaderId, newLeader.node.status().memberId);
		await cluster.runUntilSettled(newLeader.node.propose({
			kind: 'removeMember', memberId: removed, requestId: 'remove', author: 'ops',
		}));
		await cluster.waitForLeader(process => isFullyFormed(process) && process.node.status().members.length === 4);
		await waitForCatchUp(cluster);
		expect(describeCluster(cluster)).toMatchSnapshot();
		cluster.stopAll();
	});
});
