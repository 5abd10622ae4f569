import {compareLists} from '@egretrill/common';
import type {HardState, LogPosition} from '@egretrill/disk';
import type {Members, RequestVoteRequest} from '../types.js';
import type {DesiredMembership} from './state-machine.js';

/** The largest value that a majority has reached; negative infinity without any value. */
export function getMajorityValue(values: readonly number[]): number {
	const descending = values.toSorted((a, b) => b - a);
	return descending[Math.floor(descending.length / 2)] ?? Number.NEGATIVE_INFINITY;
}

/** Whether a candidate's log contains every entry that may be committed, as far as this voter knows. */
export function isUpToDate(candidate: LogPosition, own: LogPosition): boolean {
	return candidate.term > own.term || (candidate.term === own.term && candidate.index >= own.index);
}

export type VoterState = {
	readonly hardState: HardState;
	readonly identity: string;
	readonly last: LogPosition;
	/** Whether a leader was heard within the minimum election timeout; its lease may still run. */
	readonly hasLiveLeader: boolean;
};

export type VoteDecision = {readonly isGranted: boolean; readonly isTermAdopted: boolean};

/** Decides a vote or pre-vote. */
export function decideVote(req: RequestVoteRequest, voter: VoterState): VoteDecision {
	const {hardState} = voter;
	if (req.voterIdentity !== voter.identity || voter.hasLiveLeader || req.term < hardState.term) {
		return {isGranted: false, isTermAdopted: false};
	}

	const isNewTerm = req.term > hardState.term;
	const isVoteAvailable = isNewTerm || hardState.votedFor === null || hardState.votedFor === req.candidateId;
	const isCandidateUpToDate = isUpToDate({index: req.lastIndex, term: req.lastTerm}, voter.last);
	return req.preVote
		? {isGranted: isNewTerm && isCandidateUpToDate, isTermAdopted: false}
		: {isGranted: isVoteAvailable && isCandidateUpToDate, isTermAdopted: isNewTerm};
}

/** Whether the membership lists this lifetime of the member as a voter. */
export function isVoter(members: Members, memberId: string, identity: string): boolean {
	return members.some(member => member.id === memberId && member.identity === identity && member.role === 'voter');
}

/** What the leader knows of a member when it plans a change. */
export type MemberStatus = {
	/** Identity in the member's last answer; empty before the first. */
	readonly identity: string;
	readonly isCaughtUp: boolean;
};

function planIdentityChange(members: Members, statuses: ReadonlyMap<string, MemberStatus>): Members | undefined {
	const changed = members.find(member => {
		const identity = statuses.get(member.id)?.identity ?? '';
		return identity !== '' && identity !== member.identity;
	});
	// A member with a new identity has lost its votes and entries, so it starts again as a learner.
	return changed && members.map(member => member === changed ? {id: member.id, identity: statuses.get(member.id)?.identity ?? '', role: 'learner'} : member);
}

/** Plans the next change of one member, or returns undefined when the membership is as it should be. */
export function planMemberChange(members: Members, desiredMemberships: ReadonlyMap<string, DesiredMembership>, reports: ReadonlyMap<string, MemberStatus>): Members | undefined {
	const removed = members.find(member => desiredMemberships.get(member.id) === 'absent');
	const isLastVoter = removed?.role === 'voter' && members.filter(member => member.role === 'voter').length === 1;
	if (removed && !isLastVoter) {
		return members.filter(member => member !== removed);
	}

	const withNewIdentity = planIdentityChange(members, reports);
	if (withNewIdentity) {
		return withNewIdentity;
	}

	const added = [...desiredMemberships].find(([id, wish]) => wish === 'voter' && members.every(member => member.id !== id));
	if (added) {
		return [...members, {id: added[0], identity: '', role: 'learner'}];
	}

	const promoted = members.find(member => member.role !== 'voter' && reports.get(member.id)?.isCaughtUp);
	return promoted && members.map(member => member === promoted ? {...member, role: 'voter'} : member);
}

/** A change of the membership by the members that it concerns; a list of all members would grow with each line. */
export function describeMemberChange(before: Members, after: Members): {added: readonly string[]; removed: readonly string[]; changed: readonly string[]; count: number} {
	const known = new Map(before.map(member => [member.id, member]));
	const changed = after.filter(({id, identity, role}) => {
		const previous = known.get(id);
		return previous && (previous.identity !== identity || previous.role !== role);
	});
	return {...compareLists(before.map(({id}) => id), after.map(({id}) => id)), changed: changed.map(({id, role}) => `${id} ${role}`)};
}
