import type {Random} from '@egretrill/common';
import {type Pick, RoutingPolicy} from './routing-policy.js';
import type {Candidate, RoutingRequest} from './types.js';

function getScore(candidate: Candidate): {targetId: string; score: number} {
	return {targetId: candidate.targetId, score: candidate.outstanding};
}

/** Baseline: the less loaded of two candidates drawn at random. */
export class TwoChoicesRouting extends RoutingPolicy {
	get name(): string {
		return 'two-choices';
	}

	protected pick(candidates: readonly Candidate[], _req: RoutingRequest, random: Random): Pick {
		const firstIndex = Math.floor(random() * candidates.length);
		const first = candidates[firstIndex]!;
		if (candidates.length === 1) {
			return {candidate: first, reason: 'only candidate', scores: [getScore(first)]};
		}

		// The second draw skips the first, so the two always differ.
		const second = candidates[(firstIndex + 1 + Math.floor(random() * (candidates.length - 1))) % candidates.length]!;
		const candidate = second.outstanding < first.outstanding ? second : first;
		return {candidate, reason: 'less loaded of two', scores: [getScore(first), getScore(second)]};
	}
}

/** Baseline: each model's candidates in turn. */
export class RoundRobinRouting extends RoutingPolicy {
	get name(): string {
		return 'round-robin';
	}

	private readonly lastByNeed = new Map<string, string>();

	protected pick(candidates: readonly Candidate[], req: RoutingRequest): Pick {
		const need = `${req.model ?? ''}/${req.service ?? ''}`;
		const last = this.lastByNeed.get(need) ?? '';
		const ordered = candidates.toSorted((first, second) => first.targetId < second.targetId ? -1 : 1);
		// Continuing after the last target id stays fair when targets come and go.
		const candidate = ordered.find(entry => entry.targetId > last) ?? ordered[0]!;
		this.lastByNeed.set(need, candidate.targetId);
		return {candidate, reason: 'next in turn', scores: [getScore(candidate)]};
	}
}
