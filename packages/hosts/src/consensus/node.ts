import type {Signal} from '@egretrill/common';
import {MIN_ELECTION_TIMEOUT_MS, PROPOSE_TIMEOUT_MS, RESTART_VOTE_DELAY_MS} from '../constants.js';
import type {
	AppendEntriesRequest, AppendEntriesResponse, ConsensusStatus, InstallSnapshotRequest, InstallSnapshotResponse, ProposeOutcome, RequestVoteRequest, RequestVoteResponse,
} from '../types.js';
import {runApply} from './apply.js';
import {runElections} from './election.js';
import {handleAppendEntries, handleInstallSnapshot, handleRequestVote} from './handlers.js';
import {recoverWhenRoom} from './recovery.js';
import {Replica} from './replica.js';
import type {ReplicaOpts} from './replica-opts.js';
import type {StateMachine} from './state-machine.js';

export type ConsensusOpts<Command, Result> = Omit<ReplicaOpts, 'machine'> & {readonly machine: StateMachine<Command, Result>};

/** One member of the replicated log. */
export class ConsensusNode<Command, Result> {
	private readonly replica: Replica;
	private tasks: Promise<unknown> = Promise.resolve();

	constructor(private readonly opts: ConsensusOpts<Command, Result>) {
		this.replica = new Replica(opts);
	}

	/** Notified when the commit index, the applied index or the role changes. */
	get changed(): Signal {
		return this.replica.changed;
	}

	/**
	 * Restores the stored state and starts the tasks of the member, which is ready once it has applied the leader's entries. A
	 * member that must write first waits until its disk has room, or `signal` aborts.
	 */
	async start(signal?: AbortSignal): Promise<void> {
		const {replica, opts} = this;
		const waiting = signal ? AbortSignal.any([signal, replica.stopSignal]) : replica.stopSignal;
		if (!await recoverWhenRoom(replica, waiting)) {
			return;
		}

		replica.recoveredIndex = opts.storage.getLastIndex();
		// A restarted member may have acknowledged a leader just before, so it must not vote until that leader's lease has expired.
		const waitMs = replica.recoveredIndex > 0 ? RESTART_VOTE_DELAY_MS : MIN_ELECTION_TIMEOUT_MS;
		replica.lastLeaderContactMs = opts.clock.now() - (MIN_ELECTION_TIMEOUT_MS - waitMs);
		replica.electionTimerStartMs = replica.lastLeaderContactMs;
		this.tasks = Promise.all([replica.stopOnError(runElections(replica)), replica.stopOnError(runApply(replica))]);
	}

	/** Stops all tasks and closes the log; pending proposals resolve to `unknown`. */
	async stop(): Promise<void> {
		this.replica.stop();
		await this.tasks;
		await this.opts.storage.close();
	}

	/** Resolves once the member has stopped, with the error that stopped it, if any. */
	async waitUntilStopped(): Promise<Error | undefined> {
		await this.tasks;
		return this.replica.failure;
	}

	/** Proposes a command and waits until it is applied here; throws if the command is not valid. */
	async propose(command: Command, timeoutMs = PROPOSE_TIMEOUT_MS): Promise<ProposeOutcome<Result>> {
		const {replica, opts} = this;
		const {leadership, leaderId} = replica;
		if (leadership === undefined || (leadership.isBootstrapping && !opts.machine.isMemberRequest(command))) {
			return {kind: 'not-leader', ...(leaderId !== undefined && leaderId !== opts.memberId && {leaderId})};
		}

		const data = opts.machine.encode(opts.machine.prepare(command, leadership.term, opts.clock.now()));
		const expiry = new AbortController();
		const outcome = new Promise<ProposeOutcome<unknown>>(resolve => {
			leadership.proposals.push({data, complete: resolve});
			leadership.proposed.notify();
		});
		const expire = async (): Promise<ProposeOutcome<unknown>> => {
			await opts.clock.sleep(timeoutMs, expiry.signal);
			return {kind: 'unknown'};
		};

		try {
			// The replica is untyped in the results of its state machine; those of this one have the type Result.
			return await Promise.race([outcome, expire()]) as ProposeOutcome<Result>;
		} finally {
			expiry.abort();
		}
	}

	/** Whether this member leads and no other member can have become leader. Check it immediately before an answer or write. */
	isLeaderWithLease(): boolean {
		return this.replica.leadership?.hasLease() ?? false;
	}

	/** Time since a majority last confirmed this member as leader; infinite on other members. */
	leaseAgeMs(): number {
		return this.replica.leadership?.getLeaseAgeMs() ?? Number.POSITIVE_INFINITY;
	}

	/** Whether this member has reapplied every entry that it may have applied before its restart. */
	hasReplayed(): boolean {
		return this.replica.appliedIndex >= this.replica.recoveredIndex;
	}

	/** Waits until this member has applied the entry; returns false if it times out or the member stops. */
	async waitForApplied(index: number, timeoutMs: number): Promise<boolean> {
		const {replica, opts} = this;
		const deadlineMs = opts.clock.now() + timeoutMs;
		while (replica.appliedIndex < index && !replica.isStopped && opts.clock.now() < deadlineMs) {
			await replica.changed.wait(opts.clock, deadlineMs - opts.clock.now(), replica.stopSignal);
		}

		return replica.appliedIndex >= index;
	}

	status(): ConsensusStatus {
		const {replica, opts} = this;
		return {
			memberId: opts.memberId,
			identity: replica.identity,
			role: this.getRole(),
			term: replica.hardState.term,
			leaderId: replica.leaderId,
			lastIndex: opts.storage.getLastIndex(),
			commitIndex: replica.commitIndex,
			appliedIndex: replica.appliedIndex,
			snapshotIndex: replica.snapshotIndex,
			members: [...replica.members],
			...(replica.failure && {failure: replica.failure.message}),
		};
	}

	async handleRequestVote(req: RequestVoteRequest): Promise<RequestVoteResponse> {
		return handleRequestVote(this.replica, req);
	}

	async handleAppendEntries(req: AppendEntriesRequest): Promise<AppendEntriesResponse> {
		return handleAppendEntries(this.replica, req);
	}

	async handleInstallSnapshot(req: InstallSnapshotRequest): Promise<InstallSnapshotResponse> {
		return handleInstallSnapshot(this.replica, req);
	}

	private getRole(): ConsensusStatus['role'] {
		if (this.replica.isStopped) {
			return 'stopped';
		}

		if (this.replica.leadership !== undefined) {
			return 'leader';
		}

		return this.replica.isSelfVoter ? 'follower' : 'learner';
	}
}
