import {createLogger, ManualClock} from '@egretrill/common';
import type {CommandOutcome, ConsensusStatus, FleetCommand} from '@egretrill/hosts';
import {expect} from 'chai';
import {Membership} from '../../src/traffic/index.js';

/** Deadline of a command without another one. */
const COMMAND_DEADLINE_MS = 5000;
const MEMBER_CHECK_MS = 1000;
/** The platform kills a process 8 s after its stop signal; other tasks end after those of the membership. */
const MAX_STOP_MS = 7000;

/** One control host of a fleet with members, contact ages and leader set by the test. */
class MembershipFixture {
	readonly clock = new ManualClock();
	readonly proposed: string[] = [];
	memberIds: readonly string[] = ['h1', 'h2', 'h3'];
	learnerIds: readonly string[] = [];
	leaderMemberIds: readonly string[] | undefined;
	readonly contactIds = ['h1', 'h2', 'h3'];
	contactAgeMs = new Map<string, number>();
	isLeader = false;
	isRemovalRequested = false;
	/** Whether the log confirms no change. */
	isLogSilent = false;
	private readonly membership: Membership;

	constructor(hostId: string) {
		this.membership = new Membership({
			hostId,
			settings: {
				host: hostId, zone: 'z', minVoters: 3, maxVoters: 5,
			},
			clock: this.clock,
			logger: createLogger('test', 'fatal'),
			node: {status: () => this.createStatus(hostId), isLeaderWithLease: () => this.isLeader},
			log: {propose: async (command, deadlineMs) => this.propose(command, deadlineMs)},
			gossip: this.createGossip(),
			isRemovalRequested: () => this.isRemovalRequested,
		});
	}

	async run(ms: number): Promise<readonly string[]> {
		const stopper = new AbortController();
		const tasks = [this.membership.join(stopper.signal), this.membership.removeUnresponsive(stopper.signal)];
		await this.clock.run(ms);
		stopper.abort();
		await this.clock.run(1);
		await Promise.all(tasks);
		return this.proposed;
	}

	async leave(): Promise<readonly string[]> {
		const left = this.membership.leave();
		await this.clock.run(2000);
		await left;
		return this.proposed;
	}

	/** Time that a leader takes to stop, from the signal on, when the host that replaces it makes contact and becomes a voter at the given times after it. */
	async measureStopMs(successorContactMs: number, successorVoteMs: number): Promise<number> {
		const ended = new AbortController();
		const removing = this.membership.removeUnresponsive(ended.signal);
		await this.clock.run(MEMBER_CHECK_MS);
		const startedMs = this.clock.now();
		let tookMs = 0;
		const stop = async (): Promise<void> => {
			await this.membership.leave();
			ended.abort();
			await removing;
			tookMs = this.clock.now() - startedMs;
		};

		const stopped = stop();
		await this.clock.run(successorContactMs);
		this.contactAgeMs.set('h4', 0);
		await this.clock.run(successorVoteMs - successorContactMs);
		this.memberIds = [...this.memberIds, 'h4'];
		await this.clock.run(60_000);
		await stopped;
		return tookMs;
	}

	private createGossip(): {readonly leaderMemberIds: readonly string[] | undefined; readonly contactIds: readonly string[]; getContactAgeMs: (id: string) => number} {
		const getMemberIds = (): readonly string[] | undefined => this.leaderMemberIds;
		return {
			contactIds: this.contactIds,
			get leaderMemberIds() {
				return getMemberIds();
			},
			getContactAgeMs: id => this.contactAgeMs.get(id) ?? 0,
		};
	}

	private createStatus(memberId: string): ConsensusStatus {
		return {
			memberId, identity: memberId, role: this.isLeader ? 'leader' : 'follower', term: 1, lastIndex: 1, commitIndex: 1, appliedIndex: 1, snapshotIndex: 0, members: this.memberIds.map(id => ({id, identity: id, role: this.learnerIds.includes(id) ? 'learner' : 'voter'})),
		};
	}

	private async propose(command: FleetCommand, deadlineMs = COMMAND_DEADLINE_MS): Promise<CommandOutcome> {
		if (this.isLogSilent) {
			await this.clock.sleep(deadlineMs);
			return {kind: 'unknown', reason: 'The log is silent.'};
		}

		if (command.kind === 'addMember') {
			this.isRemovalRequested = false;
			this.proposed.push(`add ${command.member.id}`);
			this.leaderMemberIds = [...this.leaderMemberIds ?? [], command.member.id];
		}

		if (command.kind === 'removeMember') {
			this.proposed.push(`remove ${command.memberId}`);
			this.memberIds = this.memberIds.filter(id => id !== command.memberId);
		}

		return {kind: 'not-applied', reason: 'The test only records it.'};
	}
}

describe('Membership', () => {
	// Guards against a replaced host that remains a voter: the loss of one more disk would then leave no majority.
	it('removes an unresponsive member only if enough other voters remain', async () => {
		const replaced = new MembershipFixture('h1');
		replaced.isLeader = true;
		replaced.memberIds = ['h1', 'h2', 'h3', 'h4'];
		replaced.contactAgeMs.set('h2', 3000);
		const tooFewVoters = new MembershipFixture('h1');
		tooFewVoters.isLeader = true;
		tooFewVoters.contactAgeMs.set('h2', 60_000);
		const follower = new MembershipFixture('h1');
		follower.memberIds = ['h1', 'h2', 'h3', 'h4'];
		follower.contactAgeMs.set('h2', 3000);
		expect([await replaced.run(5000), await tooFewVoters.run(5000), await follower.run(5000)]).toMatchSnapshot();
	});

	// Guards against a host that was removed while it was paused and still considers itself a member by its own log.
	it('requests membership by the members reported by the leader, not by its own log', async () => {
		const removed = new MembershipFixture('h2');
		removed.leaderMemberIds = ['h1', 'h3', 'h4'];
		const unknown = new MembershipFixture('h5');
		const full = new MembershipFixture('h6');
		full.leaderMemberIds = ['h1', 'h2', 'h3', 'h4', 'h5'];
		expect([await removed.run(3000), await unknown.run(3000), await full.run(3000)]).toMatchSnapshot();
	});

	// Guards against a restarted voter that is removed later by the request of its earlier process.
	it('withdraws its removal when it runs again', async () => {
		const restarted = new MembershipFixture('h2');
		restarted.leaderMemberIds = ['h1', 'h2', 'h3', 'h4', 'h5'];
		restarted.isRemovalRequested = true;
		expect(await restarted.run(3000)).to.deep.equal(['add h2']);
	});

	// Guards against a planned stop that leaves a stopped voter among the members, or too few running ones.
	it('requests its removal on a planned stop if enough other voters remain', async () => {
		const spare = new MembershipFixture('h1');
		spare.memberIds = ['h1', 'h2', 'h3', 'h4'];
		expect([await spare.leave(), await new MembershipFixture('h1').leave(), await new MembershipFixture('h9').leave()]).toMatchSnapshot();
	});

	// Guards against a stopping host that is killed by the platform before it has ended its tasks.
	it('ends in time although its successor is slow and the log confirms nothing', async () => {
		const stopping = new MembershipFixture('h1');
		stopping.isLeader = true;
		stopping.isLogSilent = true;
		stopping.memberIds = ['h1', 'h2', 'h3', 'h5'];
		stopping.learnerIds = ['h5'];
		stopping.contactIds.push('h4');
		stopping.contactAgeMs = new Map([['h4', 60_000], ['h5', 60_000]]);
		const tookMs = await stopping.measureStopMs(1400, 4200);
		expect(tookMs).to.be.at.most(MAX_STOP_MS);
	});
});
