import type {LogEntry, LogStorage} from '@egretrill/disk';
import {
	COMPACTION_THRESHOLD_BYTES, COMPACTION_THRESHOLD_ENTRIES, MAX_IDLE_WAIT_MS, RETAINED_LOG_BYTES, RETAINED_LOG_ENTRIES, MAX_BATCH_ENTRIES,
} from '../constants.js';
import {runIfRoom} from './disk-room.js';
import {membersCodec, type Replica} from './replica.js';

function applyEntry(replica: Replica, entry: LogEntry): void {
	const result = entry.kind === 'command' ? replica.opts.machine.apply(entry.data, entry.index) : undefined;
	replica.appliedIndex = entry.index;
	const proposal = replica.pendingProposals.get(entry.index);
	if (proposal !== undefined) {
		replica.pendingProposals.delete(entry.index);
		proposal.complete({kind: 'committed', index: entry.index, result});
	}
}

async function saveSnapshot(replica: Replica): Promise<void> {
	const {machine, storage} = replica.opts;
	const index = replica.appliedIndex;
	await replica.saveSnapshot({
		index,
		term: storage.getTerm(index) ?? 0,
		members: membersCodec.encode([...replica.getMembersAt(index)]),
		data: machine.snapshot(),
	});
	replica.snapshotIndex = index;
	replica.pruneMembers(index);
}

function countBytes(entries: readonly LogEntry[]): number {
	return entries.reduce((sum, {data}) => sum + data.length, 0);
}

/** The last entry before a snapshot that is not retained. */
function getRetainedBase(storage: LogStorage, snapshotIndex: number): number {
	let baseIndex = snapshotIndex;
	let bytes = 0;
	for (const {index, data} of storage.read(snapshotIndex - RETAINED_LOG_ENTRIES + 1, snapshotIndex).toReversed()) {
		bytes += data.length;
		if (bytes > RETAINED_LOG_BYTES) {
			break;
		}

		baseIndex = index - 1;
	}

	return baseIndex;
}

/** Saves a snapshot once enough entries or bytes were applied, and removes entries that it covers. Must run within `runExclusive`. */
async function compactLog(replica: Replica): Promise<void> {
	const {storage} = replica.opts;
	if (replica.snapshotRoom.getRetryDelayMs() > 0) {
		return;
	}

	const applied = storage.read(replica.snapshotIndex + 1, replica.appliedIndex);
	if (applied.length >= COMPACTION_THRESHOLD_ENTRIES || countBytes(applied) >= COMPACTION_THRESHOLD_BYTES) {
		await saveSnapshot(replica);
	}

	const baseIndex = getRetainedBase(storage, replica.snapshotIndex);
	if (storage.getBase().index < baseIndex) {
		await replica.compact({index: baseIndex, term: storage.getTerm(baseIndex) ?? 0});
	}
}

async function applyCommitted(replica: Replica): Promise<void> {
	const {memberId, storage} = replica.opts;
	for (const entry of storage.read(replica.appliedIndex + 1, Math.min(replica.commitIndex, replica.appliedIndex + MAX_BATCH_ENTRIES))) {
		applyEntry(replica, entry);
	}

	replica.changed.notify();
	const isRemoved = replica.membersIndex <= replica.appliedIndex && replica.members.every(member => member.id !== memberId);
	if (replica.leadership !== undefined && isRemoved) {
		replica.endLeadership();
	}

	await runIfRoom(async () => compactLog(replica));
}

/** Applies committed entries in order and compacts the log until the member stops. */
export async function runApply(replica: Replica): Promise<void> {
	while (!replica.isStopped) {
		await (replica.appliedIndex < replica.commitIndex ? replica.runExclusive(async () => applyCommitted(replica)) : replica.changed.wait(replica.opts.clock, MAX_IDLE_WAIT_MS, replica.stopSignal));
	}
}
