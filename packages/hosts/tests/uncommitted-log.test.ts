import {createRandom, ManualClock} from '@egretrill/common';
import {
	type LogEntry, MemoryFileSystem, MemoryLogStorage, SnapshotStore,
} from '@egretrill/disk';
import {expect} from 'chai';
import {ConsensusNode, ConsensusTransport, FleetState} from '../src/index.js';
import {membersCodec} from '../src/consensus/replica.js';
import type {AppendEntriesResponse, InstallSnapshotResponse, RequestVoteResponse} from '../src/types.js';

const SEED = 11;

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
