import {
	HIGH_DURATION_QUANTILE, MAX_DURATION_ROUTES, MAX_DURATIONS_PER_ROUTE, MAX_SIMILAR_SIZE_RATIO, MIN_SIMILAR_REQUESTS,
} from '../constants.js';
import type {ForwardCall} from '../types.js';
import type {ObservedDurations} from './decide-at-stop.js';

/** Size that a request names: its prompt tokens and the most tokens to generate. */
export type RequestSize = Pick<ForwardCall, 'tokensIn' | 'tokensOut'>;

/** How long an answered request took at its targets. */
export type RequestDuration = {
	readonly durationMs: number;
	/** Time to the first event; 0 for an answer that is no stream. */
	readonly firstMs: number;
	readonly size: RequestSize;
};

/** A request that has named its size. */
type SizedDuration = {readonly durationMs: number; readonly firstMs: number; readonly tokensIn: number; readonly tokensOut: number};

/** Remembers how long the latest answered requests of each route took at their targets. */
export class RouteDurations {
	private readonly byRoute = new Map<string, RequestDuration[]>();

	record(route: string, duration: RequestDuration): void {
		const durations = this.byRoute.get(route) ?? [];
		durations.push(duration);
		if (durations.length > MAX_DURATIONS_PER_ROUTE) {
			durations.shift();
		}

		// The least recently used route comes first.
		this.byRoute.delete(route);
		this.byRoute.set(route, durations);
		const [oldest] = this.byRoute.keys();
		if (this.byRoute.size > MAX_DURATION_ROUTES && oldest !== undefined) {
			this.byRoute.delete(oldest);
		}
	}

	/** How long requests of the route took; those of similar size only if the request names its own. */
	getObserved(route: string, size: RequestSize = {}): ObservedDurations {
		const durations = this.byRoute.get(route) ?? [];
		const sorted = durations.map(({durationMs}) => durationMs).toSorted((a, b) => a - b);
		const highIndex = Math.ceil(sorted.length * HIGH_DURATION_QUANTILE) - 1;
		const sizedMs = getSizedMs(durations, size);
		return {
			count: sorted.length, highMs: sorted[highIndex] ?? 0, longestMs: sorted.at(-1) ?? 0, ...(sizedMs !== undefined && {sizedMs}),
		};
	}
}

function getSized({durationMs, firstMs, size: {tokensIn = 0, tokensOut}}: RequestDuration): readonly SizedDuration[] {
	return tokensOut === undefined || tokensOut === 0
		? []
		: [{
			durationMs, firstMs, tokensIn, tokensOut,
		}];
}

/**
 * The longest time that a request of this size would have taken if it were one of the remembered requests of similar size; undefined if it or all of these
 * name none. A size is the most tokens that a target may generate: it may end long before, so the time of one that was allowed more is not scaled down.
 */
function getSizedMs(durations: readonly RequestDuration[], {tokensIn = 0, tokensOut}: RequestSize): number | undefined {
	if (tokensOut === undefined) {
		return undefined;
	}

	const getDistance = (sized: SizedDuration): number => Math.abs(Math.log(Math.max(1, tokensOut) / sized.tokensOut));
	// The latest come first among those of one size.
	const closest = durations.toReversed().flatMap(duration => getSized(duration)).toSorted((a, b) => getDistance(a) - getDistance(b));
	const similarCount = closest.filter(sized => getDistance(sized) <= Math.log(MAX_SIMILAR_SIZE_RATIO)).length;
	const similar = closest.slice(0, Math.max(similarCount, MIN_SIMILAR_REQUESTS));
	if (similar.length === 0) {
		return undefined;
	}

	return Math.max(...similar.map(sized => {
		const promptRatio = Math.max(1, tokensIn / Math.max(1, sized.tokensIn));
		const sizeRatio = Math.max(1, tokensOut / sized.tokensOut);
		return (sized.firstMs * promptRatio) + ((sized.durationMs - sized.firstMs) * sizeRatio);
	}));
}
