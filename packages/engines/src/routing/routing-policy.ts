import {type Random, refuse, type Verdict} from '@egretrill/common';
import {Result} from 'true-myth';
import {BUSY_RETRY_MS, FULL_LOAD_RATIO, NO_TARGET_RETRY_MS} from './constants.js';
import type {
	Candidate, CandidateScore, CandidateSet, Choice, RoutingRequest,
} from './types.js';

/** The candidate that a policy selected, with the reason and the scores for the log. */
export type Selection = {readonly candidate: Candidate; readonly reason: string; readonly scores: readonly CandidateScore[]};

function isFull(candidate: Candidate): boolean {
	return candidate.outstanding >= candidate.load.limit * FULL_LOAD_RATIO;
}

function describeRequested(req: RoutingRequest): string {
	return req.model === undefined ? `service ${req.service}` : `model ${req.model}`;
}

function refuseUnknown(req: RoutingRequest): Verdict {
	return refuse(404, req.model === undefined ? 'unknown-service' : 'unknown-model', `The configuration has no ${describeRequested(req)}.`);
}

function refuseNoTarget({setAside}: CandidateSet, req: RoutingRequest): Verdict {
	const {leaving, takenOut, cutOff} = setAside;
	return refuse(503, 'no-target', `No target serves ${describeRequested(req)} now (leaving: ${leaving}, zone taken out: ${takenOut}, zone cut off: ${cutOff}).`, NO_TARGET_RETRY_MS);
}

function refuseBusy(full: number, cold: number, req: RoutingRequest): Verdict {
	return refuse(503, 'copies-busy', `Every copy of ${describeRequested(req)} is full or cold (full: ${full}, cold without a permit: ${cold}).`, BUSY_RETRY_MS);
}

/** Returns the preferred candidates, or all of them if none is preferred, so that a model without a preferred copy stays available. */
function preferWhere(candidates: readonly Candidate[], isPreferred: (candidate: Candidate) => boolean): readonly Candidate[] {
	const preferred = candidates.filter(candidate => isPreferred(candidate));
	return preferred.length > 0 ? preferred : candidates;
}

/** Chooses the target of a request. The base class determines the eligible candidates, subclasses select one of them. */
export abstract class RoutingPolicy {
	abstract get name(): string;

	/** Chooses a target, or returns why none can accept the request. */
	choose(set: CandidateSet, req: RoutingRequest, random: Random): Result<Choice, Verdict> {
		if (!req.known) {
			return Result.err(refuseUnknown(req));
		}

		const reasons = new Map(req.excluded.map(excluded => [excluded.targetId, excluded.reason]));
		// An engine refuses requests for an adapter that it has not loaded.
		const withAdapter = req.canLoadAdapter ? set.candidates : set.candidates.filter(candidate => candidate.adapterResident);
		const untried = reasons.size === 0 ? withAdapter : withAdapter.filter(candidate => reasons.get(candidate.targetId) !== 'tried');
		if (untried.length === 0) {
			return Result.err(refuseNoTarget(set, req));
		}

		const notExcluded = reasons.size === 0 ? untried : untried.filter(candidate => !reasons.has(candidate.targetId));
		const usable = notExcluded.filter(candidate => !isFull(candidate));
		if (usable.length === 0) {
			return Result.err(refuseBusy(notExcluded.length, untried.length - notExcluded.length, req));
		}

		// One draw per request, so that a returning zone gets its share of requests instead of its share of candidates.
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

	/** Selects a candidate from a non-empty list. */
	protected abstract pick(candidates: readonly Candidate[], req: RoutingRequest, random: Random): Selection;
}
