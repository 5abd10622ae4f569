import {Writable} from 'node:stream';
import {createLogger, type Logger} from '@egretrill/common';
import {expect} from 'chai';
import {SNAPSHOT_TIMEOUT_MS} from '../src/index.js';
import {createApply} from './support/documents.js';
import {
	CATCH_UP_MS, createCluster, describeStates, fill, free, FULL_MS, getProcess, isFullyFormed, MAX_TRIES, propose, SEED,
} from './support/full-disk.js';
import {type Process, SimCluster} from './support/sim-cluster.js';

/** Entries after which a member writes a snapshot. */
const COMPACTION_ENTRIES = 256;
async function proposeMany(cluster: SimCluster, leader: Process, count: number): Promise<void> {
	for (let i = 0; i < count; i++) {
		await propose(cluster, leader, `${i}`);
	}
}

async function getLogBytes(cluster: SimCluster, id: string): Promise<number> {
	const bytes = await cluster.disks.get(id)?.readFile('/data/log');
	return bytes?.length ?? 0;
}

function createLineLogger(lines: string[]): Logger {
	return createLogger('test', 'info', new Writable({
		write(chunk, _encoding, done) {
			const texts = String(chunk).trimEnd().split('\n').map(line => (JSON.parse(line) as {msg: string}).msg);
			lines.push(...texts.filter(text => text.includes('disk')));
			done();
		},
	}));
}

describe('a member whose disk is full for seconds', () => {
	// Guards against processes that end as often as they are started while the disk is full, and against refused changes that take effect.
	it('steps down as leader when its log takes no entry, refuses these changes as not committed and follows a member with room', async () => {
		const {cluster, leader, leaderId} = await createCluster();
		fill(leader);
		const outcomes = await cluster.runUntilSettled(Promise.all(['x', 'y', 'z'].map(async name => leader.node.propose(createApply(1, name)))));
		expect(outcomes.map(({kind}) => kind)).to.deep.equal(['not-leader', 'not-leader', 'not-leader']);
		expect(leader.node.status().role).to.equal('follower');
		const newLeader = await cluster.waitForLeader(process => process !== leader);
		const outcome = await propose(cluster, newLeader, 'kept');
		expect([outcome.kind, newLeader.state.getConfig().digest, leader.node.status().role]).to.deep.equal(['committed', 'digest kept', 'follower']);
		free(leader);
		await cluster.clock.run(CATCH_UP_MS);
		expect(describeStates(cluster).size).to.equal(1);
		cluster.crash(leaderId);
		cluster.start(leaderId);
		await cluster.clock.run(CATCH_UP_MS);
		expect(describeStates(cluster).size, 'after a loss of power').to.equal(1);
		cluster.stopAll();
	});

	// Guards against a leader that is elected again and again, since a term still finds the room that entries do not.
	it('hands over for good when only its log finds no room', async () => {
		const {cluster, leader} = await createCluster();
		const {term} = leader.node.status();
		fill(leader, /log$/v);
		const startedMs = cluster.clock.now();
		await propose(cluster, leader, 'refused');
		const newLeader = await cluster.waitForLeader(process => process !== leader);
		await propose(cluster, newLeader, 'kept');
		expect(cluster.clock.now() - startedMs).to.be.below(4000);
		await cluster.clock.run(2 * FULL_MS);
		expect([newLeader.node.isLeaderWithLease(), newLeader.node.status().term]).to.deep.equal([true, term + 1]);
		free(leader);
		await cluster.clock.run(CATCH_UP_MS);
		expect(describeStates(cluster).size).to.equal(1);
		cluster.stopAll();
	});

	// Guards against a change that is refused although an earlier leader's copy of it may still be committed.
	it('leaves the outcome of earlier changes open when its log takes no further one', async () => {
		const {cluster, leader, leaderId} = await createCluster();
		cluster.isolate(leaderId);
		const logged = leader.node.propose(createApply(1, 'logged'));
		await cluster.clock.run(100);
		fill(leader);
		const refused = leader.node.propose(createApply(1, 'refused'));
		const outcomes = await cluster.runUntilSettled(Promise.all([logged, refused]));
		expect(outcomes.map(({kind}) => kind)).to.deep.equal(['unknown', 'not-leader']);
		cluster.stopAll();
	});

	// Guards against a leader that ends when a change of the members, not a proposal, finds no room.
	it('steps down as leader when it has no room for a change of the members', async () => {
		const {cluster, leader, followerIds} = await createCluster();
		const [wiped = ''] = followerIds;
		cluster.wipe(wiped);
		fill(leader);
		cluster.start(wiped);
		await cluster.clock.run(1000);
		expect(leader.node.status().role).to.equal('follower');
		free(leader);
		await cluster.waitForLeader(isFullyFormed);
		cluster.stopAll();
	});

	// Guards against an acknowledgement of entries that were not stored, which a commit would rely on.
	it('acknowledges no entry as follower, stays with its leader and is caught up once it has room', async () => {
		const {cluster, leader, leaderId, followerIds: [full = '', other = '']} = await createCluster();
		const follower = getProcess(cluster, full);
		fill(follower);
		cluster.isolate(other);
		const change = leader.node.propose(createApply(1, 'kept'), 60_000);
		await cluster.clock.run(FULL_MS);
		const {role, term, commitIndex, lastIndex} = leader.node.status();
		expect([role, lastIndex - commitIndex, follower.node.status().leaderId, follower.state.getConfig().digest]).to.deep.equal(['leader', 1, leaderId, 'digest first']);
		expect(follower.fileSystem.refusedWrites).to.be.within(2, MAX_TRIES);
		free(follower);
		const outcome = await cluster.runUntilSettled(change);
		expect([outcome.kind, leader.node.status().term]).to.deep.equal(['committed', term]);
		cluster.blockedLinks.clear();
		await cluster.clock.run(CATCH_UP_MS);
		expect(describeStates(cluster).size).to.equal(1);
		cluster.stopAll();
	});

	// Guards against a vote that is counted but not stored: the member could vote for another in the same term after a restart.
	it('grants no vote and adopts no term that it cannot store', async () => {
		const {cluster, leaderId, followerIds: [full = '', other = '']} = await createCluster();
		const follower = getProcess(cluster, full);
		const {term} = follower.node.status();
		fill(follower);
		cluster.crash(leaderId);
		await cluster.clock.run(FULL_MS);
		expect([follower.node.status().term, cluster.getLeader()]).to.deep.equal([term, undefined]);
		cluster.crash(full);
		cluster.start(full);
		const leader = await cluster.waitForLeader();
		expect([full, other]).to.include(leader.node.status().memberId);
		cluster.stopAll();
	});

	// Guards against a lease that is confirmed by a member that has not stored the leader's term and so may vote for another.
	it('does not answer a leader whose term it cannot store', async () => {
		const {cluster, leader, followerIds: [full = '']} = await createCluster();
		const follower = getProcess(cluster, full);
		const {term, lastIndex} = leader.node.status();
		fill(follower);
		const call = follower.node.handleAppendEntries({
			leaderId: 'z', term: term + 5, prevIndex: lastIndex, prevTerm: term, entries: [], commitIndex: 0,
		});
		const answer = await cluster.runUntilSettled(Promise.allSettled([call]));
		expect([answer[0].status, follower.node.status().term, follower.node.status().role]).to.deep.equal(['rejected', term, 'follower']);
		cluster.stopAll();
	});

	// Guards against an intact leader that is deposed by a member that could not lead.
	it('does not disturb the leader as a candidate', async () => {
		const {cluster, leader, followerIds: [full = '']} = await createCluster();
		const {term} = leader.node.status();
		fill(getProcess(cluster, full));
		cluster.isolate(full);
		await cluster.clock.run(FULL_MS);
		cluster.blockedLinks.clear();
		await cluster.clock.run(FULL_MS);
		expect([leader.node.isLeaderWithLease(), leader.node.status().term, getProcess(cluster, full).node.status().term]).to.deep.equal([true, term, term]);
		cluster.stopAll();
	});

	// Guards against a member that ends, or applies no more entries, because there is no room for a snapshot or for the shortened log.
	for (const files of [/snapshot\.tmp$/v, /log\.tmp$/v, /\.tmp$/v]) {
		it(`goes on when it cannot compact its log (${files.source}), and compacts it later`, async () => {
			const {cluster, leader, leaderId} = await createCluster();
			fill(leader, files);
			await proposeMany(cluster, leader, COMPACTION_ENTRIES + 20);
			expect([leader.node.status().role, leader.fileSystem.refusedWrites > 1]).to.deep.equal(['leader', true]);
			const fullBytes = await getLogBytes(cluster, leaderId);
			free(leader);
			await cluster.clock.run(1000);
			await proposeMany(cluster, leader, 1);
			await cluster.clock.run(1000);
			const {snapshotIndex, commitIndex, appliedIndex} = leader.node.status();
			expect([snapshotIndex >= COMPACTION_ENTRIES, appliedIndex]).to.deep.equal([true, commitIndex]);
			expect(await getLogBytes(cluster, leaderId)).to.be.below(fullBytes / 2);
			cluster.stopAll();
		});
	}

	// Guards against a state that contains a snapshot which is not stored, on which the entries before it are applied once more.
	for (const files of [/snapshot\.tmp$/v, /log\.tmp$/v, /./v]) {
		for (const isKilled of [false, true]) {
			it(`takes the leader's snapshot once it has room for it (${files.source}${isKilled ? ', killed meanwhile' : ''})`, async () => {
				const {cluster, leader, followerIds: [full = '']} = await createCluster();
				const follower = getProcess(cluster, full);
				cluster.isolate(full);
				await proposeMany(cluster, leader, COMPACTION_ENTRIES + 80);
				fill(follower, files);
				cluster.blockedLinks.clear();
				await cluster.clock.runUntil(() => follower.fileSystem.refusedWrites > 0, SNAPSHOT_TIMEOUT_MS + 1000);
				await cluster.clock.run(FULL_MS);
				expect([follower.state.getConfig().digest, follower.node.status().role]).to.deep.equal(['digest first', 'follower']);
				expect(follower.fileSystem.refusedWrites).to.be.within(2, MAX_TRIES);
				if (isKilled) {
					cluster.crash(full);
					cluster.start(full);
				} else {
					free(follower);
				}

				await cluster.clock.run(CATCH_UP_MS);
				expect(describeStates(cluster).size).to.equal(1);
				cluster.stopAll();
			});
		}
	}

	// Guards against a fleet of one that spins through elections, and that never leads again.
	it('leads again as the only voter once it has room', async () => {
		const cluster = new SimCluster({seed: SEED, initialMembers: ['a']});
		cluster.startAll();
		const leader = await cluster.waitForLeader();
		fill(leader);
		const refused = await propose(cluster, leader, 'refused');
		await cluster.clock.run(FULL_MS);
		expect([refused.kind, leader.fileSystem.refusedWrites <= MAX_TRIES]).to.deep.equal(['not-leader', true]);
		free(leader);
		const outcome = await propose(cluster, await cluster.waitForLeader(), 'kept');
		expect(outcome.kind).to.equal('committed');
		cluster.stopAll();
	});

	// Guards against a log that is filled by the lines about a full disk.
	it('logs that it lost its room and that it has room again, once each', async () => {
		const lines: string[] = [];
		const {cluster, leader, followerIds: [full = '']} = await createCluster(createLineLogger(lines));
		const follower = getProcess(cluster, full);
		fill(follower);
		await propose(cluster, leader, 'kept');
		await cluster.clock.run(FULL_MS);
		free(follower);
		await cluster.clock.run(CATCH_UP_MS);
		cluster.stopAll();
		expect(lines).to.deep.equal(['The disk is full; the member waits until it has room.', 'The disk has room again.']);
	});
});
