import type {Random} from '@egretrill/common';
import {
	ADAPTER_LOAD_MS, BATCH_SLOWDOWN_MS, BLOCK_CHARS, COLD_PENALTY_MS, KV_PRESSURE_MS, KV_PRESSURE_RATIO, MAX_LOGGED_SCORES, MEAN_REQUEST_MS, PREFILL_MS_PER_CHAR, ROLE_PENALTY_MS, TIE_MARGIN_MS,
} from './constants.js';
import type {PrefixCacheEstimate} from './prefix-cache-estimate.js';
import {type Selection, RoutingPolicy} from './routing-policy.js';
import type {Candidate, CandidateScore, RoutingRequest} from './types.js';

/** Returns the expected time to first token in ms, given the number of prompt characters that the target has to prefill. */
export function getCost(candidate: Candidate, prefillChars: number): number {
	const {load, expected} = candidate;
	const occupancy = Math.min(1, expected / load.limit);
	const queued = Math.max(0, expected + 1 - load.limit);
	const queueMs = (queued / load.limit) * MEAN_REQUEST_MS;
	const prefillMs = prefillChars * PREFILL_MS_PER_CHAR * (1 + occupancy);
	const pressure = Math.max(0, load.kvUsedRatio - KV_PRESSURE_RATIO) / (1 - KV_PRESSURE_RATIO);
	return queueMs
		+ prefillMs
		+ (occupancy * BATCH_SLOWDOWN_MS)
		+ (pressure * KV_PRESSURE_MS)
		+ (2 * candidate.distanceMs)
		+ (candidate.adapterResident ? 0 : ADAPTER_LOAD_MS)
		+ (candidate.cold ? COLD_PENALTY_MS : 0)
		+ (candidate.role === 'mixed' ? 0 : ROLE_PENALTY_MS);
}

function getLoggedScores(candidates: readonly Candidate[], costs: Float64Array): readonly CandidateScore[] {
	const lowest: CandidateScore[] = [];
	for (const [index, score] of costs.entries()) {
		if (lowest.length === MAX_LOGGED_SCORES && score >= lowest.at(-1)!.score) {
			continue;
		}

		let position = lowest.length;
		while (position > 0 && lowest[position - 1]!.score > score) {
			position -= 1;
		}

		lowest.splice(position, 0, {targetId: candidates[index]!.targetId, score: Math.round(score * 10) / 10});
		lowest.length = Math.min(lowest.length, MAX_LOGGED_SCORES);
	}

	return lowest;
}

/** Chooses the target with the lowest expected time to first token. */
export class CostRouting extends RoutingPolicy {
	get name(): string {
		return 'cost';
	}

	private readonly cacheEstimate: PrefixCacheEstimate | undefined;

	constructor(cacheEstimate?: PrefixCacheEstimate) {
		super();
		this.cacheEstimate = cacheEstimate;
	}

	protected pick(candidates: readonly Candidate[], req: RoutingRequest, random: Random): Selection {
		const blocks = req.model === undefined ? [] : (this.cacheEstimate?.getBlocks(req.model, req.adapter, req.prompt) ?? []);
		const costs = new Float64Array(candidates.length);
		const cachedChars = new Float64Array(candidates.length);
		for (const [index, candidate] of candidates.entries()) {
			const chars = blocks.length === 0 ? 0 : this.cacheEstimate!.getHitLength(candidate.targetId, candidate.startId, blocks);
			cachedChars[index] = chars;
			costs[index] = getCost(candidate, Math.max(0, req.prompt.length - chars));
		}

		const [best, second] = this.getBestTwo(costs, random);
		const scores = getLoggedScores(candidates, costs);
		if (second === undefined) {
			return {candidate: candidates[best]!, reason: 'only candidate', scores};
		}

		// Hosts that use the same stale report would all choose the same best target, so one of two near-equal candidates is
		// chosen at random. Distance is never stale, so a more distant target is never a tie.
		const isTie = costs[second]! - costs[best]! < TIE_MARGIN_MS
			&& candidates[second]!.distanceMs <= candidates[best]!.distanceMs
			&& random() < 0.5;
		const chosen = isTie ? second : best;
		const reason = isTie ? 'drawn from the best two' : (cachedChars[chosen]! >= BLOCK_CHARS ? 'lowest cost, prefix cached' : 'lowest cost');
		return {candidate: candidates[chosen]!, reason, scores};
	}

	/** Scans from a random start, so that equal costs do not favour the first target of the list. */
	private getBestTwo(costs: Float64Array, random: Random): readonly [number, number | undefined] {
		const start = Math.floor(random() * costs.length);
		let best = start;
		let second: number | undefined;
		for (let step = 1; step < costs.length; step++) {
			const index = (start + step) % costs.length;
			if (costs[index]! < costs[best]!) {
				second = best;
				best = index;
			} else if (second === undefined || costs[index]! < costs[second]!) {
				second = index;
			}
		}

		return [best, second];
	}
}
