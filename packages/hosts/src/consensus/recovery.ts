import {randomUUID} from 'node:crypto';
import {CorruptionError} from '@egretrill/disk';
import {runIfRoom} from './disk-room.js';
import {membersCodec, type Replica} from './replica.js';

async function restoreState(replica: Replica): Promise<void> {
	const {machine, snapshots, storage} = replica.opts;
	await storage.open();
	replica.hardState = await storage.loadHardState();
	const snapshot = await snapshots.load();
	if ((snapshot?.index ?? 0) < storage.getBase().index) {
		throw new CorruptionError('snapshot', 0, `the log starts after entry ${storage.getBase().index}, which the snapshot does not cover`);
	}

	if (snapshot === undefined) {
		replica.resetMembers({index: 0, members: []});
		return;
	}

	// A crash after saving a received snapshot but before compacting the log leaves entries that the snapshot replaces.
	if (storage.getTerm(snapshot.index) !== snapshot.term) {
		await storage.compact({index: snapshot.index, term: snapshot.term});
	}

	try {
		machine.prepareRestore(snapshot.data)();
		replica.resetMembers({index: snapshot.index, members: membersCodec.decode(snapshot.members)});
	} catch (err: unknown) {
		throw new CorruptionError('snapshot', 0, 'the state in it cannot be restored', {cause: err});
	}

	replica.snapshotIndex = snapshot.index;
	replica.appliedIndex = snapshot.index;
	replica.commitIndex = snapshot.index;
}

async function loadIdentity(replica: Replica): Promise<string | undefined> {
	const {memberId, storage} = replica.opts;
	const identity = await storage.loadIdentity();
	if (identity !== undefined && identity.memberId !== memberId) {
		throw new Error(`The data directory belongs to ${identity.memberId}, not to ${memberId}.`);
	}

	return identity?.identity;
}

/** Quarantines the stored files, so that the member rejoins as a learner. */
async function resetStorage(replica: Replica): Promise<void> {
	await replica.opts.storage.quarantine();
	replica.hardState = {term: 0, votedFor: null};
	replica.resetMembers({index: 0, members: []});
}

/** Loads the stored state of a member. If it is damaged or has no identity, the member starts empty under a new identity. */
async function recover(replica: Replica): Promise<void> {
	const {memberId, logger, storage} = replica.opts;
	try {
		await restoreState(replica);
		const identity = await loadIdentity(replica);
		if (identity !== undefined) {
			replica.identity = identity;
			return;
		}

		if (!replica.isLogEmpty) {
			logger?.warn('The identity file is missing; the member joins again as a learner.');
			await resetStorage(replica);
		}
	} catch (err: unknown) {
		if (!(err instanceof CorruptionError)) {
			throw err;
		}

		logger?.error({err}, 'The stored log is damaged; the member joins again as a learner.');
		await resetStorage(replica);
	}

	replica.identity = randomUUID();
	await storage.saveIdentity({memberId, identity: replica.identity});
}

/**
 * Recovers the member as soon as the disk has room for what has to be written: a log that is intact needs none, a new member
 * and one whose log is damaged do. Returns false if the member or the signal ends first.
 */
export async function recoverWhenRoom(replica: Replica, signal: AbortSignal): Promise<boolean> {
	while (!signal.aborted) {
		replica.isRecovered = await runIfRoom(async () => replica.room.write(async () => recover(replica)));
		if (replica.isRecovered) {
			return true;
		}

		await replica.opts.clock.sleep(replica.room.getRetryDelayMs(), signal);
	}

	return false;
}
