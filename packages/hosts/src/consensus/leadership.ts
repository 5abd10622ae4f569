import {Signal} from '@egretrill/common';
import {type LogEntry, NoSpaceError} from '@egretrill/disk';
import {
	BOOTSTRAP_TIMEOUT_MS, DEFAULT_MIN_VOTERS, HEARTBEAT_MS, MAX_IDLE_WAIT_MS, LEADER_LEASE_MS, LEADER_WRITE_TIMEOUT_MS, MAX_BATCH_ENTRIES, MAX_ELECTION_TIMEOUT_MS, MIN_SUSPENSION_MS,
} from '../constants.js';
import {runIfRoom} from './disk-room.js';
import {runReplicator} from './replicator.js';
import {membersCodec, type Proposal, type Replica} from './replica.js';
import {
	describeMemberChange, getMajorityValue, isIncomplete, type MemberStatus, planMemberChange,
} from './rules.js';

/** Replication state of one other member. */
export type ReplicationProgress = {
	nextIndex: number;
	matchIndex: number;
	/** Identity in the member's last answer; empty before the first. */
	identity: string;
	/** Send time of the last acknowledged message. */
	lastAckedSendMs: number;
};

/** State of this member while it leads one term. */
export class Leadership {
	readonly startedMs: number;
	readonly proposals: Proposal[] = [];
	readonly progress = new Map<string, ReplicationProgress>();
	/** Index of the empty entry that starts the term; earlier entries are committed together with it. */
	termStartIndex = Number.POSITIVE_INFINITY;
	/** Notified when proposals are queued for the log. */
	readonly proposed = new Signal();
	/** Notified when entries were appended and have to be replicated. */
	readonly appended = new Signal();
	readonly membersChanged = new Signal();
	/** Writes to the log under way, including those that wait for others. */
	private readonly writes = new Set<{readonly startedMs: number}>();
	private readonly endController = new AbortController();
	/** Difference between the time of day and the clock at the last check. */
	private timeOfDayOffsetMs: number;
	/** Messages sent up to this time do not count for the lease, since the machine may have been suspended after they were sent. */
	private resumedMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly replica: Replica, readonly term: number) {
		this.startedMs = replica.opts.clock.now();
		this.timeOfDayOffsetMs = this.getTimeOfDayOffsetMs();
	}

	get signal(): AbortSignal {
		return this.endController.signal;
	}

	get hasEnded(): boolean {
		return this.endController.signal.aborted;
	}

	/**
	 * Whether the fleet is too new to acknowledge changes: the disks that may be lost at once could hold all copies. A host that
	 * is still missing after the timeout counts as lost, but a single copy is never enough.
	 */
	get isBootstrapping(): boolean {
		const {members, opts: {clock, minVoters = DEFAULT_MIN_VOTERS}} = this.replica;
		const hasOneCopy = members.some(({role}) => role === 'initial') && members.filter(({role}) => role === 'voter').length === 1;
		return hasOneCopy || (isIncomplete({members, minVoters}) && clock.now() - this.startedMs < BOOTSTRAP_TIMEOUT_MS);
	}

	/** Latest send time whose messages a majority of the voters has acknowledged. */
	getLeaseStartMs(): number {
		return getMajorityValue(this.getVoterValues(this.replica.opts.clock.now(), progress => progress.lastAckedSendMs));
	}

	/** Time since the lease started; infinite if the machine may have been suspended since then. */
	getLeaseAgeMs(): number {
		this.detectSuspension();
		const startMs = this.getLeaseStartMs();
		// With a single voter the lease start is the current time, read after the first call of now(), so the difference can be negative.
		return startMs > this.resumedMs ? Math.max(0, this.replica.opts.clock.now() - startMs) : Number.POSITIVE_INFINITY;
	}

	hasLease(): boolean {
		return this.replica.appliedIndex >= this.termStartIndex && this.getLeaseAgeMs() < LEADER_LEASE_MS;
	}

	/** Whether this member can lead no longer: it has lost its majority, or its disk does not answer. */
	isUnable(): boolean {
		const nowMs = this.replica.opts.clock.now();
		const confirmedMs = Math.max(this.startedMs, this.getLeaseStartMs());
		const isWriteLate = [...this.writes].some(({startedMs}) => nowMs - startedMs > LEADER_WRITE_TIMEOUT_MS);
		return isWriteLate || nowMs - confirmedMs > MAX_ELECTION_TIMEOUT_MS;
	}

	/** Runs a write to the log one at a time with others and keeps track of how long it takes; ends the leadership if the disk has no room for it. */
	async write(task: () => Promise<void>): Promise<void> {
		const write = {startedMs: this.replica.opts.clock.now()};
		this.writes.add(write);
		try {
			const hasRoom = await runIfRoom(async () => this.replica.runExclusive(task));
			if (!hasRoom && !this.hasEnded) {
				this.replica.yieldLeadership();
			}
		} finally {
			this.writes.delete(write);
		}
	}

	/** Commits entries that a majority has synced; entries of earlier terms only together with one of this term. */
	advanceCommit(): void {
		const {storage} = this.replica.opts;
		const index = getMajorityValue(this.getVoterValues(storage.getLastIndex(), progress => progress.matchIndex));
		if (storage.getTerm(index) === this.term) {
			this.replica.setCommitIndex(index);
		}
	}

	end(): void {
		this.endController.abort();
		const {leaderId, opts} = this.replica;
		for (const proposal of this.proposals.splice(0)) {
			proposal.complete({kind: 'not-leader', ...(leaderId !== undefined && leaderId !== opts.memberId && {leaderId})});
		}
	}

	/** Statuses of all members, including this one. */
	getMemberStatuses(): ReadonlyMap<string, MemberStatus> {
		const {identity, opts: {clock, memberId}} = this.replica;
		const others = [...this.progress].map(([id, progress]): readonly [string, MemberStatus] => [id, {
			identity: progress.identity,
			isCaughtUp: progress.matchIndex >= this.replica.commitIndex && clock.now() - progress.lastAckedSendMs < LEADER_LEASE_MS,
		}]);
		return new Map([...others, [memberId, {identity, isCaughtUp: true}]]);
	}

	private getTimeOfDayOffsetMs(): number {
		const {clock, getTimeOfDayMs} = this.replica.opts;
		return getTimeOfDayMs === undefined ? 0 : getTimeOfDayMs() - clock.now();
	}

	/** Voids the lease after a suspension, during which another member may have become leader; a step of the time of day looks the same. */
	private detectSuspension(): void {
		const offsetMs = this.getTimeOfDayOffsetMs();
		if (offsetMs - this.timeOfDayOffsetMs > MIN_SUSPENSION_MS) {
			this.resumedMs = this.replica.opts.clock.now();
			this.replica.opts.logger?.warn({ms: Math.round(offsetMs - this.timeOfDayOffsetMs)}, 'The machine was suspended or its time of day was set; the lease of this leader must be renewed.');
		}

		this.timeOfDayOffsetMs = offsetMs;
	}

	private getVoterValues(ownValue: number, getValue: (progress: ReplicationProgress) => number): readonly number[] {
		const {members, opts} = this.replica;
		return members.filter(member => member.role === 'voter').map(member => {
			if (member.id === opts.memberId) {
				return ownValue;
			}

			const progress = this.progress.get(member.id);
			// A member that answers with another identity has lost its log, so its acknowledgements do not count.
			return progress?.identity === member.identity ? getValue(progress) : Number.NEGATIVE_INFINITY;
		});
	}
}

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
