import {Buffer} from 'node:buffer';
import type {LogEntry} from '@egretrill/disk';
import type {
	AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse, RequestVoteRequest, RequestVoteResponse,
} from '../types.js';
import {runIfRoom} from './disk-room.js';
import {ProtocolError} from './errors.js';
import {membersCodec, type Replica} from './replica.js';
import {decideVote, type VoteDecision} from './rules.js';

async function storeDecision(replica: Replica, req: RequestVoteRequest, decision: VoteDecision): Promise<void> {
	if (decision.isTermAdopted) {
		await replica.adoptTerm(req.term);
	}

	if (decision.isGranted && !req.preVote) {
		await replica.saveHardState({term: req.term, votedFor: req.candidateId});
		replica.electionTimerStartMs = replica.opts.clock.now();
	}
}

/** Handles a vote or pre-vote request; a granted vote is synced before the answer. */
export async function handleRequestVote(replica: Replica, req: RequestVoteRequest): Promise<RequestVoteResponse> {
	return replica.runExclusive(async () => {
		const {hardState, identity} = replica;
		const decision = decideVote(req, {
			hardState, identity, last: replica.getLastPosition(), hasLiveLeader: replica.hasLiveLeader(),
		});
		const isStored = await runIfRoom(async () => storeDecision(replica, req, decision));
		return {
			term: replica.hardState.term, granted: decision.isGranted && isStored, identity, blank: replica.isLogEmpty,
		};
	});
}

function validateEntries(req: AppendEntriesRequest): void {
	let lastTerm = req.prevTerm;
	for (const [i, entry] of req.entries.entries()) {
		if (entry.index !== req.prevIndex + 1 + i || entry.term < lastTerm || entry.term > req.term) {
			throw new ProtocolError(`Entry ${entry.index} of term ${entry.term} does not continue the log at ${req.prevIndex + i}.`);
		}

		if (entry.kind === 'members') {
			decodeMembers(entry.data);
		}

		lastTerm = entry.term;
	}
}

function decodeMembers(data: Uint8Array): ReturnType<typeof membersCodec.decode> {
	try {
		return membersCodec.decode(data);
	} catch (err: unknown) {
		throw new ProtocolError('The membership in the message is not valid.', {cause: err});
	}
}

/** Returns the last index before the conflicting term; the leader retries with the entry after it. */
function getRetryIndex(replica: Replica, previousIndex: number): number {
	const {storage} = replica.opts;
	const conflictTerm = storage.getTerm(previousIndex);
	if (conflictTerm === undefined) {
		return storage.getLastIndex();
	}

	let index = previousIndex;
	while (index > replica.commitIndex && storage.getTerm(index) === conflictTerm) {
		index -= 1;
	}

	return index;
}

async function storeEntries(replica: Replica, entries: readonly LogEntry[]): Promise<void> {
	const {storage} = replica.opts;
	const firstNew = entries.findIndex(entry => storage.getTerm(entry.index) !== entry.term);
	const first = entries[firstNew];
	if (first === undefined) {
		return;
	}

	if (first.index <= storage.getLastIndex()) {
		await replica.truncateFrom(first.index);
	}

	await replica.append(entries.slice(firstNew));
}

/**
 * Appends the leader's entries to the log; they are synced before the answer. On a full disk they are refused, but the leader
 * is followed on; if already its term cannot be stored, the call fails, since an answer would confirm its lease.
 */
export async function handleAppendEntries(replica: Replica, req: AppendEntriesRequest): Promise<AppendEntriesResponse> {
	validateEntries(req);
	return replica.runExclusive(async () => {
		const {identity, opts: {storage}} = replica;
		const createAnswer = (accepted: boolean, lastIndex: number): AppendEntriesResponse => ({
			term: replica.hardState.term, accepted, lastIndex, identity,
		});
		if (req.term < replica.hardState.term) {
			return createAnswer(false, storage.getLastIndex());
		}

		await replica.acceptLeader(req.term, req.leaderId);
		// Entries up to the base are committed and compacted on this member, so they match the leader's.
		const baseIndex = storage.getBase().index;
		const isBehindBase = req.prevIndex < baseIndex;
		if (!isBehindBase && storage.getTerm(req.prevIndex) !== req.prevTerm) {
			return createAnswer(false, getRetryIndex(replica, req.prevIndex));
		}

		const isStored = await runIfRoom(async () => storeEntries(replica, req.entries.filter(entry => entry.index > baseIndex)));
		const matchIndex = isStored ? req.prevIndex + req.entries.length : req.prevIndex;
		replica.setCommitIndex(Math.min(req.commitIndex, matchIndex));
		return isStored ? createAnswer(true, matchIndex) : {...createAnswer(false, storage.getLastIndex()), isFull: true};
	});
}

function prepareRestore(replica: Replica, data: Uint8Array): () => void {
	try {
		return replica.opts.machine.prepareRestore(data);
	} catch (err: unknown) {
		throw new ProtocolError('The snapshot in the message is not valid.', {cause: err});
	}
}

async function installSnapshot(replica: Replica, req: InstallSnapshotRequest, data: Uint8Array): Promise<void> {
	const members = decodeMembers(req.members);
	const restore = prepareRestore(replica, data);
	await replica.saveSnapshot({
		index: req.index, term: req.snapshotTerm, members: req.members, data,
	});
	await replica.compact({index: req.index, term: req.snapshotTerm});
	// Only now, since the entries before the snapshot are still to be applied if the disk has no room for it.
	restore();
	replica.snapshotIndex = req.index;
	replica.appliedIndex = req.index;
	// Entries that the snapshot replaced were never committed, so this member cannot have applied them.
	replica.recoveredIndex = Math.min(replica.recoveredIndex, replica.opts.storage.getLastIndex());
	replica.resetMembers({index: req.index, members});
	replica.setCommitIndex(req.index);
	replica.changed.notify();
}

/** Collects the chunks of a snapshot and installs it after the last one; on a full disk the leader is to send it again later. */
export async function handleInstallSnapshot(replica: Replica, req: InstallSnapshotRequest): Promise<InstallSnapshotResponse> {
	return replica.runExclusive(async () => {
		const {identity} = replica;
		const createAnswer = (nextOffset: number): InstallSnapshotResponse => ({term: replica.hardState.term, identity, nextOffset});
		if (req.term < replica.hardState.term) {
			return createAnswer(0);
		}

		await replica.acceptLeader(req.term, req.leaderId);
		const endOffset = req.offset + req.chunk.length;
		if (req.index <= replica.appliedIndex) {
			return createAnswer(Math.max(1, endOffset));
		}

		const {incomingSnapshot} = replica;
		const isSameSnapshot = incomingSnapshot?.index === req.index && incomingSnapshot.term === req.term;
		const received = req.offset > 0 && isSameSnapshot ? incomingSnapshot.bytes : new Uint8Array();
		if (received.length !== req.offset) {
			return createAnswer(received.length);
		}

		const bytes = Buffer.concat([received, req.chunk]);
		replica.incomingSnapshot = req.last ? undefined : {index: req.index, term: req.term, bytes};
		if (req.last) {
			const isInstalled = await runIfRoom(async () => installSnapshot(replica, req, bytes));
			if (!isInstalled) {
				return createAnswer(req.offset);
			}

			replica.lastLeaderContactMs = replica.opts.clock.now();
			replica.electionTimerStartMs = replica.lastLeaderContactMs;
		}

		return createAnswer(Math.max(1, endOffset));
	});
}
