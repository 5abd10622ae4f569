import {jitter} from '@egretrill/common';
import {type LogEntry, type Snapshot} from '@egretrill/disk';
import {
	APPEND_TIMEOUT_MS, HEARTBEAT_MS, MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, SNAPSHOT_CHUNK_BYTES, SNAPSHOT_TIMEOUT_MS,
} from '../constants.js';
import {callPeer} from './call-peer.js';
import type {Leadership, ReplicationProgress} from './leadership.js';
import type {Replica} from './replica.js';

type Replicator = {
	readonly replica: Replica;
	readonly leadership: Leadership;
	readonly memberId: string;
	readonly progress: ReplicationProgress;
};

/** `more`: send the next message immediately; `idle`: send it after the heartbeat interval or when entries are appended. */
type SendOutcome = 'more' | 'idle';

function limitBatch(entries: readonly LogEntry[]): readonly LogEntry[] {
	let bytes = 0;
	return entries.filter((entry, i) => {
		bytes += entry.data.length;
		return i === 0 || bytes <= MAX_BATCH_BYTES;
	});
}

/** Processes the term and identity of an answer; returns false if the rest of the answer must be ignored. */
async function processAnswer(replicator: Replicator, answer: {readonly term: number; readonly identity: string}, sentMs: number): Promise<boolean> {
	const {replica, leadership, progress} = replicator;
	if (leadership.hasEnded) {
		return false;
	}

	if (answer.term > leadership.term) {
		await replica.learnTerm(answer.term);
		return false;
	}

	if (answer.identity !== progress.identity) {
		// The member has a new identity because it lost its log, so its earlier acknowledgements are void.
		progress.identity = answer.identity;
		progress.matchIndex = 0;
		leadership.membersChanged.notify();
	}

	progress.lastAckedSendMs = sentMs;
	return true;
}

async function sendEntries(replicator: Replicator): Promise<SendOutcome> {
	const {replica, leadership, memberId, progress} = replicator;
	const {clock, storage, transport} = replica.opts;
	const previousIndex = progress.nextIndex - 1;
	const entries = limitBatch(storage.read(progress.nextIndex, previousIndex + MAX_BATCH_ENTRIES));
	const req = {
		leaderId: replica.opts.memberId,
		term: leadership.term,
		prevIndex: previousIndex,
		prevTerm: storage.getTerm(previousIndex) ?? 0,
		entries: [...entries],
		commitIndex: replica.commitIndex,
	};
	const sentMs = clock.now();
	const answer = await callPeer(clock, APPEND_TIMEOUT_MS, leadership.signal, async signal => transport.appendEntries(memberId, req, signal));
	if (answer === undefined || !await processAnswer(replicator, answer, sentMs)) {
		return 'idle';
	}

	if (answer.isFull) {
		return 'idle';
	}

	if (!answer.accepted) {
		progress.nextIndex = Math.max(1, Math.min(answer.lastIndex + 1, previousIndex));
		return 'more';
	}

	progress.matchIndex = Math.max(progress.matchIndex, previousIndex + entries.length);
	progress.nextIndex = progress.matchIndex + 1;
	leadership.advanceCommit();
	return progress.nextIndex <= storage.getLastIndex() ? 'more' : 'idle';
}

async function sendChunk(replicator: Replicator, snapshot: Snapshot, offset: number): Promise<number | undefined> {
	const {replica, leadership, memberId} = replicator;
	const {clock, transport} = replica.opts;
	const chunk = snapshot.data.subarray(offset, offset + SNAPSHOT_CHUNK_BYTES);
	const req = {
		leaderId: replica.opts.memberId,
		term: leadership.term,
		index: snapshot.index,
		snapshotTerm: snapshot.term,
		members: snapshot.members,
		offset,
		chunk,
		last: offset + chunk.length === snapshot.data.length,
	};
	const sentMs = clock.now();
	const answer = await callPeer(clock, SNAPSHOT_TIMEOUT_MS, leadership.signal, async signal => transport.installSnapshot(memberId, req, signal));
	return answer !== undefined && await processAnswer(replicator, answer, sentMs) ? answer.nextOffset : undefined;
}

async function sendSnapshot(replicator: Replicator): Promise<SendOutcome> {
	const {replica, leadership, progress} = replicator;
	const snapshot = await replica.runExclusive(async () => replica.opts.snapshots.load());
	if (snapshot === undefined) {
		throw new Error(`The log starts after entry ${replica.opts.storage.getBase().index}, but there is no snapshot.`);
	}

	let offset = 0;
	while (offset < snapshot.data.length || offset === 0) {
		const nextOffset = await sendChunk(replicator, snapshot, offset);
		if (nextOffset === undefined || nextOffset <= offset) {
			return 'idle';
		}

		offset = nextOffset;
	}

	progress.matchIndex = Math.max(progress.matchIndex, snapshot.index);
	progress.nextIndex = progress.matchIndex + 1;
	leadership.advanceCommit();
	return 'more';
}

/** Replicates the leader's log to one member until the leadership ends or the member is removed. */
export async function runReplicator(replica: Replica, leadership: Leadership, memberId: string): Promise<void> {
	const {clock, random, storage} = replica.opts;
	const progress: ReplicationProgress = {
		nextIndex: storage.getLastIndex() + 1, matchIndex: 0, identity: '', lastAckedSendMs: Number.NEGATIVE_INFINITY,
	};
	leadership.progress.set(memberId, progress);
	const replicator = {
		replica, leadership, memberId, progress,
	};
	while (!leadership.hasEnded && replica.members.some(member => member.id === memberId)) {
		const outcome = progress.nextIndex <= storage.getBase().index ? await sendSnapshot(replicator) : await sendEntries(replicator);
		if (outcome === 'idle') {
			await leadership.appended.wait(clock, jitter(HEARTBEAT_MS, random), leadership.signal);
		}
	}

	leadership.progress.delete(memberId);
}
