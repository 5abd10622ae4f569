import type {LogEntry} from '@egretrill/disk';
import {
	COMPACTION_THRESHOLD_ENTRIES, MAX_IDLE_WAIT_MS, RETAINED_LOG_ENTRIES, MAX_BATCH_ENTRIES,
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

/** Saves a snapshot once enough entries were applied, and removes entries that it covers. Must run within `runExclusive`. */
async function compactLog(replica: Replica): Promise<void> {
	const {storage} = replica.opts;
	if (replica.snapshotRoom.getRetryDelayMs() > 0) {
		return;
	}

	if (replica.appliedIndex - replica.snapshotIndex >= COMPACTION_THRESHOLD_ENTRIES) {
		await saveSnapshot(replica);
	}

	const baseIndex = replica.snapshotIndex - RETAINED_LOG_ENTRIES;
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
