import {Signal} from '@egretrill/common';
import {
	BOOTSTRAP_TIMEOUT_MS, DEFAULT_MIN_VOTERS, LEADER_LEASE_MS, LEADER_WRITE_TIMEOUT_MS, MAX_ELECTION_TIMEOUT_MS, MIN_SUSPENSION_MS,
} from '../constants.js';
import type {Members, ProposeOutcome} from '../types.js';
import {runIfRoom} from './disk-room.js';
import type {ReplicaOpts} from './replica-opts.js';
import {getMajorityValue, isIncomplete, type MemberStatus} from './rules.js';

/** A proposal whose entry is not applied yet. */
export type Proposal = {
	readonly data: Uint8Array;
	readonly complete: (outcome: ProposeOutcome<unknown>) => void;
};

/** What a leadership reads and changes of the member that leads. */
export type LeadingMember = {
	readonly opts: ReplicaOpts;
	readonly members: Members;
	readonly identity: string;
	readonly leaderId: string | undefined;
	readonly appliedIndex: number;
	readonly commitIndex: number;
	readonly runExclusive: <T>(task: () => Promise<T>) => Promise<T>;
	readonly setCommitIndex: (index: number) => void;
	readonly yieldLeadership: () => void;
};

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

	constructor(private readonly member: LeadingMember, readonly term: number) {
		this.startedMs = member.opts.clock.now();
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
		const {members, opts: {clock, minVoters = DEFAULT_MIN_VOTERS}} = this.member;
		const hasOneCopy = members.some(({role}) => role === 'initial') && members.filter(({role}) => role === 'voter').length === 1;
		return hasOneCopy || (isIncomplete({members, minVoters}) && clock.now() - this.startedMs < BOOTSTRAP_TIMEOUT_MS);
	}

	/** Latest send time whose messages a majority of the voters has acknowledged. */
	getLeaseStartMs(): number {
		return getMajorityValue(this.getVoterValues(this.member.opts.clock.now(), progress => progress.lastAckedSendMs));
	}

	/** Time since the lease started; infinite if the machine may have been suspended since then. */
	getLeaseAgeMs(): number {
		this.detectSuspension();
		const startMs = this.getLeaseStartMs();
		// With a single voter the lease start is the current time, read after the first call of now(), so the difference can be negative.
		return startMs > this.resumedMs ? Math.max(0, this.member.opts.clock.now() - startMs) : Number.POSITIVE_INFINITY;
	}

	hasLease(): boolean {
		return this.member.appliedIndex >= this.termStartIndex && this.getLeaseAgeMs() < LEADER_LEASE_MS;
	}

	/** Whether this member can lead no longer: it has lost its majority, or its disk does not answer. */
	isUnable(): boolean {
		const nowMs = this.member.opts.clock.now();
		const confirmedMs = Math.max(this.startedMs, this.getLeaseStartMs());
		const isWriteLate = [...this.writes].some(({startedMs}) => nowMs - startedMs > LEADER_WRITE_TIMEOUT_MS);
		return isWriteLate || nowMs - confirmedMs > MAX_ELECTION_TIMEOUT_MS;
	}

	/** Runs a write to the log one at a time with others and keeps track of how long it takes; ends the leadership if the disk has no room for it. */
	async write(task: () => Promise<void>): Promise<void> {
		const write = {startedMs: this.member.opts.clock.now()};
		this.writes.add(write);
		try {
			const hasRoom = await runIfRoom(async () => this.member.runExclusive(task));
			if (!hasRoom && !this.hasEnded) {
				this.member.yieldLeadership();
			}
		} finally {
			this.writes.delete(write);
		}
	}

	/** Commits entries that a majority has synced; entries of earlier terms only together with one of this term. */
	advanceCommit(): void {
		const {storage} = this.member.opts;
		const index = getMajorityValue(this.getVoterValues(storage.getLastIndex(), progress => progress.matchIndex));
		if (storage.getTerm(index) === this.term) {
			this.member.setCommitIndex(index);
		}
	}

	end(): void {
		this.endController.abort();
		const {leaderId, opts} = this.member;
		for (const proposal of this.proposals.splice(0)) {
			proposal.complete({kind: 'not-leader', ...(leaderId !== undefined && leaderId !== opts.memberId && {leaderId})});
		}
	}

	/** Statuses of all members, including this one. */
	getMemberStatuses(): ReadonlyMap<string, MemberStatus> {
		const {identity, opts: {clock, memberId}} = this.member;
		const others = [...this.progress].map(([id, progress]): readonly [string, MemberStatus] => [id, {
			identity: progress.identity,
			isCaughtUp: progress.matchIndex >= this.member.commitIndex && clock.now() - progress.lastAckedSendMs < LEADER_LEASE_MS,
		}]);
		return new Map([...others, [memberId, {identity, isCaughtUp: true}]]);
	}

	private getTimeOfDayOffsetMs(): number {
		const {clock, getTimeOfDayMs} = this.member.opts;
		return getTimeOfDayMs === undefined ? 0 : getTimeOfDayMs() - clock.now();
	}

	/** Voids the lease after a suspension, during which another member may have become leader; a step of the time of day looks the same. */
	private detectSuspension(): void {
		const offsetMs = this.getTimeOfDayOffsetMs();
		if (offsetMs - this.timeOfDayOffsetMs > MIN_SUSPENSION_MS) {
			this.resumedMs = this.member.opts.clock.now();
			this.member.opts.logger?.warn({ms: Math.round(offsetMs - this.timeOfDayOffsetMs)}, 'The machine was suspended or its time of day was set; the lease of this leader must be renewed.');
		}

		this.timeOfDayOffsetMs = offsetMs;
	}

	private getVoterValues(ownValue: number, getValue: (progress: ReplicationProgress) => number): readonly number[] {
		const {members, opts} = this.member;
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
