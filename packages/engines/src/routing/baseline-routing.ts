import type {Random} from '@egretrill/common';
import {MAX_ROUND_ROBIN_ENTRIES} from './constants.js';
import {type Selection, RoutingPolicy} from './routing-policy.js';
import type {Candidate, RoutingRequest} from './types.js';

function getScore(candidate: Candidate): {targetId: string; score: number} {
	return {targetId: candidate.targetId, score: candidate.outstanding};
}

/** Baseline: the less loaded of two candidates drawn at random. */
export class TwoChoicesRouting extends RoutingPolicy {
	get name(): string {
		return 'two-choices';
	}

	protected pick(candidates: readonly Candidate[], _req: RoutingRequest, random: Random): Selection {
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
	private readonly turns = new Map<string, number>();
	private turn = 0;

	get name(): string {
		return 'round-robin';
	}

	protected pick(candidates: readonly Candidate[], req: RoutingRequest): Selection {
		const getKey = (candidate: Candidate): string => `${req.model ?? req.service ?? ''}/${candidate.targetId}`;
		const getTurn = (candidate: Candidate): number => this.turns.get(getKey(candidate)) ?? 0;
		// The longest unused candidate stays fair when the set of candidates varies from request to request.
		let [chosen] = candidates;
		for (const candidate of candidates) {
			chosen = getTurn(candidate) < getTurn(chosen!) ? candidate : chosen;
		}

		this.turn += 1;
		this.turns.delete(getKey(chosen!));
		this.turns.set(getKey(chosen!), this.turn);
		if (this.turns.size > MAX_ROUND_ROBIN_ENTRIES) {
			const [oldest] = this.turns.keys();
			this.turns.delete(oldest!);
		}

		return {candidate: chosen!, reason: 'next in turn', scores: [getScore(chosen!)]};
	}
}
