import {type LogEntry, NoSpaceError} from '@egretrill/disk';
import {
	DEFAULT_MIN_VOTERS, HEARTBEAT_MS, MAX_BATCH_ENTRIES, MAX_IDLE_WAIT_MS,
} from '../constants.js';
import {Leadership, type Proposal} from './leadership.js';
import {membersCodec, type Replica} from './replica.js';
import {runReplicator} from './replicator.js';
import {describeMemberChange, planMemberChange} from './rules.js';

/** Appends entries of the leader's term and notifies the replication tasks. Must run within `runExclusive`. */
async function appendAsLeader(replica: Replica, leadership: Leadership, items: ReadonlyArray<Pick<LogEntry, 'kind' | 'data'>>): Promise<void> {
	const firstIndex = replica.opts.storage.getLastIndex() + 1;
	await replica.append(items.map((item, i) => ({index: firstIndex + i, term: leadership.term, ...item})));
	leadership.advanceCommit();
	leadership.appended.notify();
}

async function appendProposals(replica: Replica, leadership: Leadership, batch: readonly Proposal[]): Promise<void> {
	const firstIndex = replica.opts.storage.getLastIndex() + 1;
	for (const [i, proposal] of batch.entries()) {
		replica.pendingProposals.set(firstIndex + i, {...proposal, term: leadership.term});
	}

	try {
		await appendAsLeader(replica, leadership, batch.map(proposal => ({kind: 'command', data: proposal.data})));
	} catch (err: unknown) {
		if (err instanceof NoSpaceError) {
			refuseProposals(replica, firstIndex, batch);
		}

		throw err;
	}
}

/** Refuses proposals that the log did not take. Entries are sent to other members only once they are in this log, so no copy exists. */
function refuseProposals(replica: Replica, firstIndex: number, proposals: readonly Proposal[]): void {
	for (const [i, proposal] of proposals.entries()) {
		replica.pendingProposals.delete(firstIndex + i);
		proposal.complete({kind: 'not-leader'});
	}
}

/** Appends queued proposals to the log in batches with one sync per batch. */
async function runProposalWriter(replica: Replica, leadership: Leadership): Promise<void> {
	while (!leadership.hasEnded) {
		if (leadership.proposals.length === 0) {
			await leadership.proposed.wait(replica.opts.clock, MAX_IDLE_WAIT_MS, leadership.signal);
			continue;
		}

		await leadership.write(async () => {
			const batch = leadership.proposals.splice(0, MAX_BATCH_ENTRIES);
			if (batch.length === 0) {
				return;
			}

			await appendProposals(replica, leadership, batch);
		});
	}
}

async function changeMembers(replica: Replica, leadership: Leadership): Promise<void> {
	// Only one change may be in progress, and only after an entry of this term is committed; otherwise two disjoint majorities could exist.
	const isAllowed = (): boolean => !leadership.hasEnded && replica.commitIndex >= Math.max(leadership.termStartIndex, replica.membersIndex);
	const {machine, minVoters = DEFAULT_MIN_VOTERS} = replica.opts;
	const plan = (): ReturnType<typeof planMemberChange> => isAllowed()
		? planMemberChange({
			members: replica.members, desiredMemberships: machine.getDesiredMemberships(), statuses: leadership.getMemberStatuses(), minVoters,
		})
		: undefined;
	if (plan() === undefined) {
		return;
	}

	await leadership.write(async () => {
		const members = plan();
		if (members !== undefined) {
			replica.opts.logger?.info(describeMemberChange(replica.members, members), 'Membership changes.');
			await appendAsLeader(replica, leadership, [{kind: 'members', data: membersCodec.encode(members)}]);
		}
	});
}

/** Ends the leadership once this member is unable to lead. */
async function watchLeadership(replica: Replica, leadership: Leadership): Promise<void> {
	while (!leadership.hasEnded) {
		if (leadership.isUnable()) {
			replica.endLeadership();
		}

		await replica.opts.clock.sleep(HEARTBEAT_MS, leadership.signal);
	}
}

/** Runs one replication task per other member and applies membership changes. */
async function runReplication(replica: Replica, leadership: Leadership): Promise<void> {
	const {clock, memberId} = replica.opts;
	const tasks: Array<Promise<void>> = [];
	while (!leadership.hasEnded) {
		for (const member of replica.members) {
			if (member.id !== memberId && !leadership.progress.has(member.id)) {
				tasks.push(replica.stopOnError(runReplicator(replica, leadership, member.id)));
			}
		}

		await changeMembers(replica, leadership);
		await leadership.membersChanged.wait(clock, HEARTBEAT_MS, leadership.signal);
	}

	await Promise.all(tasks);
}

/** Leads the term until another leader appears, the majority is lost or the member stops. */
export async function runLeadership(replica: Replica, term: number): Promise<void> {
	const leadership = new Leadership(replica, term);
	await leadership.write(async () => {
		if (replica.hardState.term !== term) {
			leadership.end();
			return;
		}

		replica.leadership = leadership;
		replica.leaderId = replica.opts.memberId;
		leadership.termStartIndex = replica.opts.storage.getLastIndex() + 1;
		await appendAsLeader(replica, leadership, [{kind: 'empty', data: new Uint8Array()}]);
		replica.changed.notify();
	});
	await Promise.all([runProposalWriter(replica, leadership), runReplication(replica, leadership), watchLeadership(replica, leadership)]);
}
