import {Signal} from '@egretrill/common';
import {MAX_ELECTION_TIMEOUT_MS, MIN_ELECTION_TIMEOUT_MS, VOTE_TIMEOUT_MS} from '../constants.js';
import type {Member, RequestVoteRequest, RequestVoteResponse} from '../types.js';
import {callPeer} from './call-peer.js';
import {runIfRoom} from './disk-room.js';
import {membersCodec, type Replica} from './replica.js';
import {runLeadership} from './run-leadership.js';

/** Votes of one election round. */
type Ballot = {grantedCount: number; unansweredCount: number; readonly changed: Signal};

async function sendVoteRequest(replica: Replica, memberId: string, req: RequestVoteRequest): Promise<RequestVoteResponse | undefined> {
	const {clock, transport} = replica.opts;
	return callPeer(clock, VOTE_TIMEOUT_MS, replica.stopSignal, async signal => transport.requestVote(memberId, req, signal));
}

/** Requests a vote and counts it in the ballot; adopts a higher term if the answer contains one. */
async function requestVote(replica: Replica, voter: Member, req: RequestVoteRequest, ballot: Ballot): Promise<void> {
	const answer = await sendVoteRequest(replica, voter.id, {...req, voterIdentity: voter.identity});
	if (answer?.granted && answer.identity === voter.identity) {
		ballot.grantedCount += 1;
	}

	ballot.unansweredCount -= 1;
	ballot.changed.notify();
	if (answer !== undefined && answer.term > replica.hardState.term && !replica.isStopped) {
		await replica.learnTerm(answer.term);
	}
}

/** Requests the votes of all other voters in parallel; returns true as soon as a majority has granted its vote. */
async function collectVotes(replica: Replica, term: number, preVote: boolean): Promise<boolean> {
	const {clock, memberId} = replica.opts;
	const voters = replica.members.filter(member => member.role === 'voter');
	const others = voters.filter(voter => voter.id !== memberId);
	const last = replica.getLastPosition();
	const req = {
		candidateId: memberId, term, preVote, lastIndex: last.index, lastTerm: last.term, voterIdentity: '',
	};
	const ballot: Ballot = {grantedCount: 1, unansweredCount: others.length, changed: new Signal()};
	for (const voter of others) {
		void replica.stopOnError(requestVote(replica, voter, req, ballot));
	}

	const hasMajority = (): boolean => ballot.grantedCount > voters.length / 2;
	while (!hasMajority() && ballot.unansweredCount > 0 && !replica.isStopped) {
		await ballot.changed.wait(clock, VOTE_TIMEOUT_MS, replica.stopSignal);
	}

	return hasMajority();
}

/** Starts the next term and votes for itself; returns undefined if this member is no longer eligible, for instance after contact from a leader. */
async function startCandidateTerm(replica: Replica): Promise<number | undefined> {
	return replica.runExclusive(async () => {
		if (!isEligibleCandidate(replica)) {
			return undefined;
		}

		const term = replica.hardState.term + 1;
		await replica.saveHardState({term, votedFor: replica.opts.memberId});
		replica.leaderId = undefined;
		return term;
	});
}

function isSoleVoter(replica: Replica): boolean {
	return replica.isSelfVoter && replica.members.filter(member => member.role === 'voter').length === 1;
}

function isEligibleCandidate(replica: Replica): boolean {
	return replica.isSelfVoter && (isSoleVoter(replica) || !replica.hasLiveLeader());
}

async function runElection(replica: Replica): Promise<void> {
	if (!isEligibleCandidate(replica) || !await collectVotes(replica, replica.hardState.term + 1, true)) {
		return;
	}

	const term = await startCandidateTerm(replica);
	if (term !== undefined && await collectVotes(replica, term, false)) {
		await runLeadership(replica, term);
	}
}

/**
 * Bootstraps the log of a new fleet once every initial member has answered that its log is empty. If only some members
 * answered, this member might have lost its disk while the others still have a log.
 */
async function bootstrapLog(replica: Replica): Promise<void> {
	const {initialMembers, memberId} = replica.opts;
	if (initialMembers.toSorted()[0] !== memberId) {
		return;
	}

	const others = initialMembers.filter(id => id !== memberId);
	const req = {
		candidateId: memberId, term: 0, preVote: true, lastIndex: 0, lastTerm: 0, voterIdentity: '',
	};
	const answers = await Promise.all(others.map(async id => sendVoteRequest(replica, id, req)));
	if (!answers.every(answer => answer?.blank)) {
		return;
	}

	const members: Member[] = [
		{id: memberId, identity: replica.identity, role: 'voter'},
		...others.map((id, i): Member => ({id, identity: answers[i]?.identity ?? '', role: 'initial'})),
	];
	await replica.runExclusive(async () => {
		if (replica.isLogEmpty) {
			await replica.saveHardState({term: 1, votedFor: memberId});
			await replica.append([{
				index: 1, term: 1, kind: 'members', data: membersCodec.encode(members),
			}]);
		}
	});
}

async function waitForTimeout(replica: Replica): Promise<void> {
	const {clock, random} = replica.opts;
	const timeoutMs = MIN_ELECTION_TIMEOUT_MS + (random() * (MAX_ELECTION_TIMEOUT_MS - MIN_ELECTION_TIMEOUT_MS));
	// A sole voter does not wait: no other member can hold a leader lease.
	while (!replica.isStopped && !isSoleVoter(replica)) {
		const remainingMs = replica.electionTimerStartMs + timeoutMs - clock.now();
		if (remainingMs <= 0) {
			return;
		}

		await clock.sleep(remainingMs, replica.stopSignal);
	}
}

async function runElectionRound(replica: Replica): Promise<void> {
	if (replica.isLogEmpty) {
		await bootstrapLog(replica);
	}

	await waitForTimeout(replica);
	replica.electionTimerStartMs = replica.opts.clock.now();
	if (!replica.isStopped) {
		await runElection(replica);
	}
}

/** Runs an election whenever the election timeout passes without contact from a leader, and leads the terms that it wins. */
export async function runElections(replica: Replica): Promise<void> {
	while (!replica.isStopped) {
		const hasRoom = await runIfRoom(async () => runElectionRound(replica));
		if (!hasRoom) {
			await replica.opts.clock.sleep(replica.room.getRetryDelayMs(), replica.stopSignal);
		}
	}
}
