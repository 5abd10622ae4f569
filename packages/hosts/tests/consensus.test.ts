import {createRandom, ManualClock} from '@egretrill/common';
import {
	type LogEntry, MemoryFileSystem, MemoryLogStorage, SnapshotStore,
} from '@egretrill/disk';
import {expect} from 'chai';
import {
	APPEND_TIMEOUT_MS, ConsensusNode, ConsensusTransport, type FleetCommand, FleetState, LEADER_LEASE_MS, type Members, MIN_ELECTION_TIMEOUT_MS,
} from '../src/index.js';
import {membersCodec} from '../src/consensus/replica.js';
import type {AppendEntriesResponse, InstallSnapshotResponse, RequestVoteResponse} from '../src/types.js';
import {createApply} from './support/documents.js';
import {type Process, SimCluster} from './support/sim-cluster.js';

const SEED = 11;

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

	for (const fault of ['sync', 'full'] as const) {
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

/** Simulates a follower that grants every vote, starts with an empty log, and loses messages with entries after `limit`. */
class ScriptedTransport extends ConsensusTransport {
	limit = 64;
	lastIndex = 0;

	async requestVote(_to: string, req: {term: number; preVote: boolean}): Promise<RequestVoteResponse> {
		return {
			term: req.preVote ? req.term - 1 : req.term, granted: true, identity: 'b1', blank: false,
		};
	}

	async appendEntries(_to: string, req: {term: number; prevIndex: number; entries: LogEntry[]}): Promise<AppendEntriesResponse> {
		const endIndex = req.prevIndex + req.entries.length;
		const accepted = req.prevIndex <= this.lastIndex;
		if (accepted && endIndex > this.limit) {
			throw new Error('lost');
		}

		this.lastIndex = accepted ? Math.max(this.lastIndex, endIndex) : this.lastIndex;
		return {
			term: req.term, accepted, lastIndex: this.lastIndex, identity: 'b1',
		};
	}

	async installSnapshot(): Promise<InstallSnapshotResponse> {
		throw new Error('not used');
	}
}

/** Creates a log with the membership of a and b followed by 99 uncommitted entries of term 2. */
async function createUncommittedLog(): Promise<MemoryLogStorage> {
	const storage = new MemoryLogStorage();
	await storage.open();
	const members = [{id: 'a', identity: 'a1', role: 'voter' as const}, {id: 'b', identity: 'b1', role: 'voter' as const}];
	await storage.append(Array.from({length: 100}, (_, i) => i === 0
		? {
			index: 1, term: 1, kind: 'members' as const, data: membersCodec.encode(members),
		}
		: {
			index: i + 1, term: 2, kind: 'empty' as const, data: new Uint8Array(),
		}));
	await storage.saveIdentity({memberId: 'a', identity: 'a1'});
	await storage.saveHardState({term: 3, votedFor: 'a'});
	return storage;
}

describe('commit rule', () => {
	it('does not commit an entry of an earlier term by counting replicas', async () => {
		const clock = new ManualClock();
		const transport = new ScriptedTransport();
		const node = new ConsensusNode({
			memberId: 'a',
			initialMembers: ['a', 'b'],
			transport,
			storage: await createUncommittedLog(),
			snapshots: new SnapshotStore({folder: '/s', fileSystem: new MemoryFileSystem()}),
			machine: new FleetState(),
			clock,
			random: createRandom(SEED),
		});
		await node.start();
		await clock.runUntil(() => node.status().role === 'leader', 5000);
		await clock.run(1000);
		expect([transport.lastIndex, node.status().term, node.status().lastIndex, node.status().commitIndex]).to.deep.equal([64, 4, 101, 0]);
		transport.limit = 101;
		await clock.run(1000);
		expect(node.status().commitIndex).to.equal(101);
		await node.stop();
	});
});

describe('snapshot of a leader', () => {
	// Guards against a control host that withholds its state for good, since it waits for entries that the snapshot has replaced.
	it('ends the replay of a member whose own entries it replaces', async () => {
		const clock = new ManualClock();
		const node = new ConsensusNode({
			memberId: 'a',
			initialMembers: [],
			transport: new ScriptedTransport(),
			storage: await createUncommittedLog(),
			snapshots: new SnapshotStore({folder: '/s', fileSystem: new MemoryFileSystem()}),
			machine: new FleetState(),
			clock,
			random: createRandom(SEED),
		});
		await node.start();
		const members = membersCodec.encode([{id: 'b', identity: 'b1', role: 'voter'}]);
		const chunk = new FleetState().snapshot();
		await node.handleInstallSnapshot({
			leaderId: 'b', term: 9, index: 50, snapshotTerm: 8, members, offset: 0, chunk, last: true,
		});
		const {lastIndex, appliedIndex} = node.status();
		expect([lastIndex, appliedIndex, node.hasReplayed()]).to.deep.equal([50, 50, true]);
		await node.stop();
	});
});
