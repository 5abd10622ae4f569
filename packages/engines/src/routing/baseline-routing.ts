import type {Random} from '@egretrill/common';
import {MAX_ROUND_ROBIN_ENTRIES} from './constants.js';
import {type Selection, RoutingPolicy} from './routing-policy.js';
import type {Candidate, RoutingRequest} from './types.js';

function getScore(candidate: Candidate): {targetId: string; score: number} {
	return {targetId: candidate.targetId, score: candidate.outstanding};
}

/** Baseline: the less loaded of two randomly chosen candidates. */
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

		// The second draw excludes the first candidate, so the two always differ.
		const second = candidates[(firstIndex + 1 + Math.floor(random() * (candidates.length - 1))) % candidates.length]!;
		const candidate = second.outstanding < first.outstanding ? second : first;
		return {candidate, reason: 'less loaded of two', scores: [getScore(first), getScore(second)]};
	}
}

/** Baseline: round robin over the candidates of each model. */
export class RoundRobinRouting extends RoutingPolicy {
	private readonly lastTurns = new Map<string, number>();
	private turn = 0;

	get name(): string {
		return 'round-robin';
	}

	protected pick(candidates: readonly Candidate[], req: RoutingRequest): Selection {
		const getKey = (candidate: Candidate): string => `${req.model ?? req.service ?? ''}/${candidate.targetId}`;
		const getTurn = (candidate: Candidate): number => this.lastTurns.get(getKey(candidate)) ?? 0;
		// Choosing the least recently used candidate stays fair even if the candidates vary between requests.
		let [chosen] = candidates;
		for (const candidate of candidates) {
			chosen = getTurn(candidate) < getTurn(chosen!) ? candidate : chosen;
		}

		this.turn += 1;
		this.lastTurns.delete(getKey(chosen!));
		this.lastTurns.set(getKey(chosen!), this.turn);
		if (this.lastTurns.size > MAX_ROUND_ROBIN_ENTRIES) {
			const [oldest] = this.lastTurns.keys();
			this.lastTurns.delete(oldest!);
		}

		return {candidate: chosen!, reason: 'next in turn', scores: [getScore(chosen!)]};
	}
}
