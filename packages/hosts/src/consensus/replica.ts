import {createCodec, Signal} from '@egretrill/common';
import {
	type HardState, type LogEntry, type LogPosition, NoSpaceError, type Snapshot,
} from '@egretrill/disk';
import {MAX_ELECTION_TIMEOUT_MS, MIN_ELECTION_TIMEOUT_MS} from '../constants.js';
import {Members} from '../types.js';
import {SerialQueue} from '../serial-queue.js';
import {DiskRoom, runIfRoom} from './disk-room.js';
import {ProtocolError, StoppedError} from './errors.js';
import type {Leadership, Proposal} from './leadership.js';
import type {ReplicaOpts} from './replica-opts.js';
import {isVoter} from './rules.js';

export const membersCodec = createCodec(Members);

/** The part of a snapshot that was received so far. */
export type IncomingSnapshot = {
	readonly index: number;
	readonly term: number;
	readonly bytes: Uint8Array;
};

type MembershipRecord = {readonly index: number; readonly members: Members};

/** State of one member, shared by its tasks and message handlers. */
export class Replica {
	identity = '';
	/** Whether the stored log and term have been read; before, the member answers nothing. */
	isRecovered = false;
	hardState: HardState = {term: 0, votedFor: null};
	leaderId: string | undefined;
	leadership: Leadership | undefined;
	commitIndex = 0;
	appliedIndex = 0;
	snapshotIndex = 0;
	/** Last entry found at startup; the member may have applied any entry up to it before its restart. */
	recoveredIndex = 0;
	/** When this member last received a message from a leader; on startup, a time that delays the first vote. */
	lastLeaderContactMs = 0;
	/** When the current election timeout started. */
	electionTimerStartMs = 0;
	incomingSnapshot: IncomingSnapshot | undefined;
	failure: Error | undefined;
	/** Room for the log and the term. */
	readonly room: DiskRoom;
	/** Room for snapshots, which may be missing although the log still finds some. */
	readonly snapshotRoom: DiskRoom;
	/** Notified when the commit index, the applied index or the role changes. */
	readonly changed = new Signal();
	/** Logged proposals of this leader that are not applied yet, by the index of their entry. */
	readonly pendingProposals = new Map<number, Proposal & {readonly term: number}>();
	private membershipHistory: readonly MembershipRecord[] = [{index: 0, members: []}];
	private readonly stopController = new AbortController();
	private readonly exclusiveQueue = new SerialQueue();

	constructor(readonly opts: ReplicaOpts) {
		this.room = new DiskRoom('log', opts);
		this.snapshotRoom = new DiskRoom('snapshots', opts);
	}

	get isStopped(): boolean {
		return this.stopController.signal.aborted;
	}

	get stopSignal(): AbortSignal {
		return this.stopController.signal;
	}

	/** Membership of the latest entry in the log, whether or not it is committed. */
	get members(): Members {
		return this.membershipHistory.at(-1)?.members ?? [];
	}

	get membersIndex(): number {
		return this.membershipHistory.at(-1)?.index ?? 0;
	}

	get isSelfVoter(): boolean {
		return isVoter(this.members, this.opts.memberId, this.identity);
	}

	get isLogEmpty(): boolean {
		return this.opts.storage.getLastIndex() === 0;
	}

	getLastPosition(): LogPosition {
		const {storage} = this.opts;
		const index = storage.getLastIndex();
		return {index, term: storage.getTerm(index) ?? 0};
	}

	getMembersAt(index: number): Members {
		return this.membershipHistory.findLast(entry => entry.index <= index)?.members ?? [];
	}

	/** Whether the last contact with a leader is so recent that its lease may still be valid. */
	hasLiveLeader(): boolean {
		const contactMs = this.leadership?.getLeaseStartMs() ?? this.lastLeaderContactMs;
		return this.opts.clock.now() - contactMs < MIN_ELECTION_TIMEOUT_MS;
	}

	/** Runs a task that changes the log or the term; these tasks run one at a time, in the order of their calls. */
	async runExclusive<T>(task: () => Promise<T>): Promise<T> {
		return this.exclusiveQueue.run(async () => {
			if (this.isStopped) {
				throw this.failure ?? new StoppedError('The member has stopped.');
			}

			if (!this.isRecovered) {
				throw new StoppedError('The member has not read its log yet.');
			}

			try {
				return await task();
			} catch (err: unknown) {
				if (!(err instanceof ProtocolError || err instanceof NoSpaceError)) {
					this.fail(err);
				}

				throw err;
			}
		});
	}

	/** Appends entries to this member's log. Must run within `runExclusive`. */
	async append(entries: readonly LogEntry[]): Promise<void> {
		await this.room.write(async () => this.opts.storage.append(entries));
		this.recordMemberships(entries);
	}

	/** Removes entries that conflict with the leader's log. Must run within `runExclusive`. */
	async truncateFrom(index: number): Promise<void> {
		if (index <= this.commitIndex) {
			throw new ProtocolError(`Entry ${index} is committed and must not be replaced.`);
		}

		await this.opts.storage.truncateFrom(index);
		// Replaced entries were never committed, so this member cannot have applied them.
		this.recoveredIndex = Math.min(this.recoveredIndex, index - 1);
		this.membershipHistory = this.membershipHistory.filter(entry => entry.index < index);
	}

	/** Resets the membership history to that of a snapshot and the log entries after it. */
	resetMembers(snapshot: MembershipRecord): void {
		const {storage} = this.opts;
		this.membershipHistory = [snapshot];
		this.recordMemberships(storage.read(snapshot.index + 1, storage.getLastIndex()));
	}

	/** Removes memberships before a snapshot from the history. */
	pruneMembers(snapshotIndex: number): void {
		this.membershipHistory = [
			{index: snapshotIndex, members: this.getMembersAt(snapshotIndex)},
			...this.membershipHistory.filter(entry => entry.index > snapshotIndex),
		];
	}

	/** Persists a snapshot. Must run within `runExclusive`. */
	async saveSnapshot(snapshot: Snapshot): Promise<void> {
		await this.snapshotRoom.write(async () => this.opts.snapshots.save(snapshot));
	}

	/** Removes entries that a snapshot covers from the log. Must run within `runExclusive`. */
	async compact(upTo: LogPosition): Promise<void> {
		await this.snapshotRoom.write(async () => this.opts.storage.compact(upTo));
	}

	/** Persists a term and vote. Must run within `runExclusive`. */
	async saveHardState(hardState: HardState): Promise<void> {
		await this.room.write(async () => this.opts.storage.saveHardState(hardState));
		this.hardState = hardState;
	}

	/** Adopts a higher term received in a message and steps down. Must run within `runExclusive`. */
	async adoptTerm(term: number): Promise<void> {
		if (term <= this.hardState.term) {
			return;
		}

		this.endLeadership();
		this.leaderId = undefined;
		await this.saveHardState({term, votedFor: null});
	}

	/** Adopts a higher term received in an answer, if the disk has room for it; later messages contain it again. */
	async learnTerm(term: number): Promise<void> {
		await runIfRoom(async () => this.runExclusive(async () => this.adoptTerm(term)));
	}

	/** Accepts the sender as leader of the term and restarts the election timeout. Must run within `runExclusive`. */
	async acceptLeader(term: number, leaderId: string): Promise<void> {
		await this.adoptTerm(term);
		if (this.leadership !== undefined || (this.leaderId !== undefined && this.leaderId !== leaderId)) {
			throw new ProtocolError(`${leaderId} claims term ${term}, which already has the leader ${this.leaderId ?? this.opts.memberId}.`);
		}

		this.leaderId = leaderId;
		this.lastLeaderContactMs = this.opts.clock.now();
		this.electionTimerStartMs = this.lastLeaderContactMs;
	}

	setCommitIndex(index: number): void {
		if (index > this.commitIndex) {
			this.commitIndex = index;
			this.changed.notify();
		}
	}

	/** Steps down if this member leads; the next leader may still commit entries that were logged in this term. */
	endLeadership(): void {
		this.leadership?.end();
		this.leadership = undefined;
		if (this.leaderId === this.opts.memberId) {
			this.leaderId = undefined;
		}

		for (const proposal of this.pendingProposals.values()) {
			proposal.complete({kind: 'unknown'});
		}

		this.pendingProposals.clear();
		this.changed.notify();
	}

	/** Ends the leadership because the log can take no entry; gives the other members one election in which to replace this one. */
	yieldLeadership(): void {
		this.endLeadership();
		this.electionTimerStartMs = this.opts.clock.now() + MAX_ELECTION_TIMEOUT_MS;
	}

	stop(): void {
		this.stopController.abort();
		this.endLeadership();
		this.leaderId = undefined;
	}

	/** Stops the member permanently after an error that may have left its log or state inconsistent. */
	fail(err: unknown): void {
		if (this.isStopped) {
			return;
		}

		this.failure = err instanceof Error ? err : new Error(String(err));
		this.opts.logger?.error({err: this.failure}, 'The member stops.');
		this.stop();
	}

	/** Awaits a task and stops the member if it throws. */
	async stopOnError(task: Promise<void>): Promise<void> {
		try {
			await task;
		} catch (err: unknown) {
			this.fail(err);
		}
	}

	private recordMemberships(entries: readonly LogEntry[]): void {
		const newRecords = entries.filter(entry => entry.kind === 'members').map(entry => ({index: entry.index, members: membersCodec.decode(entry.data)}));
		if (newRecords.length > 0) {
			this.membershipHistory = [...this.membershipHistory, ...newRecords];
			this.leadership?.membersChanged.notify();
		}
	}
}
