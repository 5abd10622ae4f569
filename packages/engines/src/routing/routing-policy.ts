import {type Random, refuse, type Verdict} from '@egretrill/common';
import {Result} from 'true-myth';
import {BUSY_RETRY_MS, FULL_LOAD_RATIO, NO_TARGET_RETRY_MS} from './constants.js';
import type {
	Candidate, CandidateScore, CandidateSet, Choice, RoutingRequest,
} from './types.js';

/** What a policy picks among the eligible candidates. */
export type Selection = {readonly candidate: Candidate; readonly reason: string; readonly scores: readonly CandidateScore[]};

function isFull(candidate: Candidate): boolean {
	return candidate.outstanding >= candidate.load.limit * FULL_LOAD_RATIO;
}

function describeNeed(req: RoutingRequest): string {
	return req.model === undefined ? `service ${req.service}` : `model ${req.model}`;
}

function refuseUnknown(req: RoutingRequest): Verdict {
	return refuse(404, req.model === undefined ? 'unknown-service' : 'unknown-model', `The configuration has no ${describeNeed(req)}.`);
}

function refuseNoTarget({setAside}: CandidateSet, req: RoutingRequest): Verdict {
	const {leaving, takenOut, cutOff} = setAside;
	return refuse(503, 'no-target', `No target serves ${describeNeed(req)} now (leaving: ${leaving}, zone taken out: ${takenOut}, zone cut off: ${cutOff}).`, NO_TARGET_RETRY_MS);
}

function refuseBusy(full: number, cold: number, req: RoutingRequest): Verdict {
	return refuse(503, 'copies-busy', `Every copy of ${describeNeed(req)} is full or cold (full: ${full}, cold without a permit: ${cold}).`, BUSY_RETRY_MS);
}

/** Prefers the candidates that pass; a model whose only copies fail keeps all of them. */
function preferWhere(candidates: readonly Candidate[], isPreferred: (candidate: Candidate) => boolean): readonly Candidate[] {
	const preferred = candidates.filter(candidate => isPreferred(candidate));
	return preferred.length > 0 ? preferred : candidates;
}

/** Chooses the target of one request; the common part decides who may be chosen at all. */
export abstract class RoutingPolicy {
	abstract get name(): string;

	/** Chooses a target, or says why none can take the request. */
	choose(set: CandidateSet, req: RoutingRequest, random: Random): Result<Choice, Verdict> {
		if (!req.known) {
			return Result.err(refuseUnknown(req));
		}

		const reasons = new Map(req.excluded.map(excluded => [excluded.targetId, excluded.reason]));
		// An engine refuses a request for an adapter that it does not hold.
		const able = req.canLoadAdapter ? set.candidates : set.candidates.filter(candidate => candidate.adapterResident);
		const untried = reasons.size === 0 ? able : able.filter(candidate => reasons.get(candidate.targetId) !== 'tried');
		if (untried.length === 0) {
			return Result.err(refuseNoTarget(set, req));
		}

		const open = reasons.size === 0 ? untried : untried.filter(candidate => !reasons.has(candidate.targetId));
		const usable = open.filter(candidate => !isFull(candidate));
		if (usable.length === 0) {
			return Result.err(refuseBusy(open.length, untried.length - open.length, req));
		}

		// One draw per request, so that a returning zone gets its share of requests and not of candidates.
		const draw = random();
		const reachable = preferWhere(usable, candidate => !candidate.suspected);
		const eligible = preferWhere(reachable, candidate => draw < candidate.zoneShare);
		const {candidate, reason, scores} = this.pick(eligible, req, random);
		return Result.ok({
			targetId: candidate.targetId,
			startId: candidate.startId,
			zone: candidate.zone,
			address: candidate.address,
			needsPermit: candidate.cold,
			adapterResident: candidate.adapterResident,
			reason,
			considered: eligible.length,
			scores: [...scores],
		});
	}

	/** Picks one of at least one candidates. */
	protected abstract pick(candidates: readonly Candidate[], req: RoutingRequest, random: Random): Selection;
}
