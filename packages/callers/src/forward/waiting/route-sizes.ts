import type {TrafficRoute} from '@egretrill/common';
import {MAX_DURATION_ROUTES, ROUTE_SIZE_RATIO} from '../constants.js';
import {isRepeatable} from '../stops/decide-at-stop.js';
import type {ForwardCall} from '../types.js';

/** What a request is expected to take at its target. */
export type ExpectedWork = {
	readonly promptTokens: number;
	/** Output tokens by the caller's estimate, or the most that it allows. */
	readonly outputTokens: number;
	/** Events after the first one; absent until requests of the route have been observed. */
	readonly outputEvents?: number;
	/** Time of an answer that is no stream; absent until one of the route has been observed. */
	readonly answerMs?: number;
	/** Latency that the caller expects of the first event. */
	readonly targetLatencyMs: number;
	/** Whether it may be sent over a connection that is open already. */
	readonly mayReuseConnection: boolean;
};

type CallSize = Pick<ForwardCall, 'tokensIn' | 'tokensOut' | 'expectedTokensOut'>;

/** Moving means of the requests of a route. */
type RouteMeans = {events?: number; answerMs?: number; hintedEvents: number; hintedTokens: number};

function moveMean(mean: number | undefined, value: number): number {
	return mean === undefined ? value : mean + ((value - mean) * ROUTE_SIZE_RATIO);
}

/** Estimates what requests take from the sizes that they name and from earlier requests of their route. */
export class RouteSizes {
	private readonly byRoute = new Map<string, RouteMeans>();

	/** Records the events of a complete stream after its first one. */
	recordStream(route: string, {expectedTokensOut}: CallSize, events: number): void {
		const means = this.getMeans(route);
		means.events = moveMean(means.events, events);
		if (expectedTokensOut !== undefined && expectedTokensOut > 0) {
			// The ratio of sums, since single estimates are often far off.
			means.hintedEvents = (means.hintedEvents * (1 - ROUTE_SIZE_RATIO)) + events;
			means.hintedTokens = (means.hintedTokens * (1 - ROUTE_SIZE_RATIO)) + expectedTokensOut;
		}
	}

	/** Records the time of an answer that is no stream. */
	recordAnswer(route: string, durationMs: number): void {
		const means = this.getMeans(route);
		means.answerMs = moveMean(means.answerMs, durationMs);
	}

	getExpected(route: Pick<TrafficRoute, 'name' | 'isStream' | 'isResumable' | 'repeat' | 'targetLatencyMs'>, call: CallSize): ExpectedWork {
		const {tokensIn = 0, tokensOut = 0, expectedTokensOut = tokensOut} = call;
		const means = this.byRoute.get(route.name);
		const outputEvents = means && getEvents(means, call);
		return {
			promptTokens: tokensIn,
			outputTokens: Math.min(tokensOut, expectedTokensOut),
			targetLatencyMs: route.targetLatencyMs,
			mayReuseConnection: isRepeatable(route),
			...(route.isStream && outputEvents !== undefined && {outputEvents}),
			...(!route.isStream && means?.answerMs !== undefined && {answerMs: means.answerMs}),
		};
	}

	private getMeans(route: string): RouteMeans {
		const means = this.byRoute.get(route) ?? {hintedEvents: 0, hintedTokens: 0};
		// The route that was not used for the longest time comes first.
		this.byRoute.delete(route);
		this.byRoute.set(route, means);
		const [oldest] = this.byRoute.keys();
		if (this.byRoute.size > MAX_DURATION_ROUTES && oldest !== undefined) {
			this.byRoute.delete(oldest);
		}

		return means;
	}
}

/** Expected events: by the caller's estimate, else the mean of the route, and never more than the request allows. */
function getEvents({events, hintedEvents, hintedTokens}: RouteMeans, {tokensOut, expectedTokensOut}: CallSize): number | undefined {
	if (hintedTokens === 0) {
		return events;
	}

	const eventsPerToken = hintedEvents / hintedTokens;
	const expected = expectedTokensOut === undefined ? events : expectedTokensOut * eventsPerToken;
	return expected === undefined || tokensOut === undefined ? expected : Math.min(expected, tokensOut * eventsPerToken);
}
