import {compareLists} from '@egretrill/common';
import type {HardState, LogPosition} from '@egretrill/disk';
import type {Member, Members, RequestVoteRequest} from '../types.js';
import type {DesiredMembership} from './state-machine.js';

/** Returns the highest value that a majority has reached, or negative infinity if there are no values. */
export function getMajorityValue(values: readonly number[]): number {
	const descending = values.toSorted((a, b) => b - a);
	return descending[Math.floor(descending.length / 2)] ?? Number.NEGATIVE_INFINITY;
}

/** Whether a candidate's log is at least as up to date as the voter's own, so that it contains all committed entries. */
export function isUpToDate(candidate: LogPosition, own: LogPosition): boolean {
	return candidate.term > own.term || (candidate.term === own.term && candidate.index >= own.index);
}

export type VoterState = {
	readonly hardState: HardState;
	readonly identity: string;
	readonly last: LogPosition;
	/** Whether a leader made contact within the minimum election timeout; its lease may still be valid. */
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

/** Whether the membership lists the member with this identity as a voter. */
export function isVoter(members: Members, memberId: string, identity: string): boolean {
	return members.some(member => member.id === memberId && member.identity === identity && member.role === 'voter');
}

/** Status of a member on which the leader bases membership changes. */
export type MemberStatus = {
	/** Identity in the member's last answer; empty before the first. */
	readonly identity: string;
	readonly isCaughtUp: boolean;
};

/** What the leader knows when it plans a membership change. */
export type MembershipView = {
	readonly members: Members;
	readonly desiredMemberships: ReadonlyMap<string, DesiredMembership>;
	/** Statuses of all members, including the leader. */
	readonly statuses: ReadonlyMap<string, MemberStatus>;
	/** Number of running voters below which no voter is removed. */
	readonly minVoters: number;
};

/** Whether the fleet still lacks voters because it was started, not because it lost some. */
export function isIncomplete({members, minVoters}: Pick<MembershipView, 'members' | 'minVoters'>): boolean {
	const voters = members.filter(({role}) => role === 'voter');
	return voters.length < minVoters && (members.length < minVoters || members.some(({role}) => role === 'initial'));
}

function planIdentityChange(members: Members, statuses: ReadonlyMap<string, MemberStatus>): Members | undefined {
	const changed = members.find(member => {
		const identity = statuses.get(member.id)?.identity ?? '';
		return identity !== '' && identity !== member.identity;
	});
	// A member with a new identity has lost its votes and entries, so a voter becomes a learner again.
	return changed && members.map(member => member === changed
		? {...member, identity: statuses.get(member.id)?.identity ?? '', role: member.role === 'voter' ? 'learner' : member.role}
		: member);
}

/** Whether enough running voters remain without the member; a voter that does not answer may be one of the losses to be survived. */
function isRemovable(member: Member, {members, statuses, minVoters}: MembershipView): boolean {
	const others = members.filter(other => other !== member && other.role === 'voter' && statuses.get(other.id)?.isCaughtUp);
	return member.role !== 'voter' || others.length >= minVoters;
}

/** Plans the next single-member change; returns undefined if the membership is as desired or cannot become so yet. */
export function planMemberChange(view: MembershipView): Members | undefined {
	const {members, desiredMemberships, statuses} = view;
	const removed = members.find(member => desiredMemberships.get(member.id) === 'absent' && isRemovable(member, view));
	if (removed) {
		return members.filter(member => member !== removed);
	}

	const withNewIdentity = planIdentityChange(members, statuses);
	if (withNewIdentity) {
		return withNewIdentity;
	}

	const added = [...desiredMemberships].find(([id, desired]) => desired === 'voter' && members.every(member => member.id !== id));
	if (added) {
		return [...members, {id: added[0], identity: '', role: isIncomplete(view) ? 'initial' : 'learner'}];
	}

	const promoted = members.find(member => member.role !== 'voter' && statuses.get(member.id)?.isCaughtUp);
	return promoted && members.map(member => member === promoted ? {...member, role: 'voter'} : member);
}

/** Describes a membership change for the log by the affected members only; listing all members would make the line grow with the fleet. */
export function describeMemberChange(before: Members, after: Members): {added: readonly string[]; removed: readonly string[]; changed: readonly string[]; count: number} {
	const previousById = new Map(before.map(member => [member.id, member]));
	const changed = after.filter(({id, identity, role}) => {
		const previous = previousById.get(id);
		return previous && (previous.identity !== identity || previous.role !== role);
	});
	return {...compareLists(before.map(({id}) => id), after.map(({id}) => id)), changed: changed.map(({id, role}) => `${id} ${role}`)};
}
