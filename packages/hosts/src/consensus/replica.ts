import {
	type Clock, createCodec, type Logger, type Random, Signal,
} from '@egretrill/common';
import type {
	HardState, LogEntry, LogPosition, LogStorage, SnapshotStore,
} from '@egretrill/disk';
import {MIN_ELECTION_TIMEOUT_MS} from '../constants.js';
import {Members, type ProposeOutcome} from '../types.js';
import {ProtocolError, StoppedError} from './errors.js';
import type {Leadership} from './leadership.js';
import {isVoter} from './rules.js';
import {SerialQueue} from './serial-queue.js';
import type {ReplicatedStateMachine} from './state-machine.js';
import type {ConsensusTransport} from './transport.js';

export const membersCodec = createCodec(Members);

export type ReplicaOpts = {
	readonly memberId: string;
	/** Members of the fleet's first start; the first id in sort order starts the log. */
	readonly initialMembers: readonly string[];
	readonly transport: ConsensusTransport;
	readonly storage: LogStorage;
	readonly snapshots: SnapshotStore;
	readonly machine: ReplicatedStateMachine;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger?: Logger;
};

/** A proposal that waits for its entry to be applied. */
export type Proposal = {
	readonly data: Uint8Array;
	readonly complete: (outcome: ProposeOutcome<unknown>) => void;
};

/** Parts of a snapshot that have arrived so far. */
export type IncomingSnapshot = {
	readonly index: number;
	readonly term: number;
	readonly bytes: Uint8Array;
};

type MembershipRecord = {readonly index: number; readonly members: Members};

/** State of one member that its tasks and message handlers share. */
export class Replica {
	identity = '';
	hardState: HardState = {term: 0, votedFor: null};
	leaderId: string | undefined;
	leadership: Leadership | undefined;
	commitIndex = 0;
	appliedIndex = 0;
	snapshotIndex = 0;
	/** Last entry found at the start; the member may have applied any entry up to it before. */
	recoveredIndex = 0;
	/** When this member last heard a leader, or started. */
	lastLeaderContactMs = 0;
	/** When the running election timeout began. */
	electionTimerStartMs = 0;
	incomingSnapshot: IncomingSnapshot | undefined;
	failure: Error | undefined;
	/** Notified when the commit index, the applied index or the role changes. */
	readonly changed = new Signal();
	/** Proposals of this leader by the index of their entry. */
	readonly pendingProposals = new Map<number, Proposal & {readonly term: number}>();
	private membershipHistory: readonly MembershipRecord[] = [{index: 0, members: []}];
	private readonly stopController = new AbortController();
	private readonly exclusiveQueue = new SerialQueue();

	constructor(readonly opts: ReplicaOpts) {}

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

	/** Whether a leader was heard so recently that its lease may still run. */
	hasLiveLeader(): boolean {
		const contactMs = this.leadership?.getLeaseStartMs() ?? this.lastLeaderContactMs;
		return this.opts.clock.now() - contactMs < MIN_ELECTION_TIMEOUT_MS;
	}

	/** Runs a task that changes the log or the term; such tasks run one after the other. */
	async runExclusive<T>(task: () => Promise<T>): Promise<T> {
		return this.exclusiveQueue.run(async () => {
			if (this.isStopped) {
				throw this.failure ?? new StoppedError('The member has stopped.');
			}

			try {
				return await task();
			} catch (err: unknown) {
				if (!(err instanceof ProtocolError)) {
					this.fail(err);
				}

				throw err;
			}
		});
	}

	/** Appends entries to the own log; call it within `exclusive`. */
	async append(entries: readonly LogEntry[]): Promise<void> {
		await this.opts.storage.append(entries);
		this.recordMemberships(entries);
	}

	/** Removes entries that another leader has replaced; call it within `exclusive`. */
	async truncateFrom(index: number): Promise<void> {
		if (index <= this.commitIndex) {
			throw new ProtocolError(`Entry ${index} is committed and must not be replaced.`);
		}

		await this.opts.storage.truncateFrom(index);
		// What another leader replaces was never committed, so this member has not applied it.
		this.recoveredIndex = Math.min(this.recoveredIndex, index - 1);
		this.membershipHistory = this.membershipHistory.filter(entry => entry.index < index);
	}

	/** Sets the membership of a snapshot and of the entries kept behind it. */
	resetMembers(snapshot: MembershipRecord): void {
		const {storage} = this.opts;
		this.membershipHistory = [snapshot];
		this.recordMemberships(storage.read(snapshot.index + 1, storage.getLastIndex()));
	}

	/** Forgets memberships that precede a snapshot. */
	pruneMembers(snapshotIndex: number): void {
		this.membershipHistory = [
			{index: snapshotIndex, members: this.getMembersAt(snapshotIndex)},
			...this.membershipHistory.filter(entry => entry.index > snapshotIndex),
		];
	}

	/** Persists a term and vote; call it within `exclusive`. */
	async saveHardState(hardState: HardState): Promise<void> {
		await this.opts.storage.saveHardState(hardState);
		this.hardState = hardState;
	}

	/** Moves to a newer term seen in a message; call it within `exclusive`. */
	async adoptTerm(term: number): Promise<void> {
		if (term <= this.hardState.term) {
			return;
		}

		this.endLeadership();
		this.leaderId = undefined;
		await this.saveHardState({term, votedFor: null});
	}

	/** Records a message of the leader of the term; call it within `exclusive`. */
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

	/** Ends the own leadership, if any; entries that it logged may still be committed by the next leader. */
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

	stop(): void {
		this.stopController.abort();
		this.endLeadership();
		this.leaderId = undefined;
	}

	/** Stops the member for good after an error that leaves its log or state in doubt. */
	fail(err: unknown): void {
		if (this.isStopped) {
			return;
		}

		this.failure = err instanceof Error ? err : new Error(String(err));
		this.opts.logger?.error({err: this.failure}, 'The member stops.');
		this.stop();
	}

	/** Waits for a task; an error that it does not handle itself stops the member. */
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
