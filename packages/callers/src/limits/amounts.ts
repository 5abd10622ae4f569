import type {Rate} from '@egretrill/common';
import type {Amounts} from './types.js';

export const NO_AMOUNTS: Amounts = {tokens: 0, requests: 0};

/** Computes the amount of each unit with `fn`. */
export function mapAmounts(fn: (unit: keyof Amounts) => number): Amounts {
	return {tokens: fn('tokens'), requests: fn('requests')};
}

export function addAmounts(a: Amounts, b: Amounts): Amounts {
	return {tokens: a.tokens + b.tokens, requests: a.requests + b.requests};
}

/** Subtracts in each unit; a negative result becomes 0. */
export function subtractAmounts(a: Amounts, b: Amounts): Amounts {
	return {tokens: Math.max(0, a.tokens - b.tokens), requests: Math.max(0, a.requests - b.requests)};
}

export function minAmounts(a: Amounts, b: Amounts): Amounts {
	return {tokens: Math.min(a.tokens, b.tokens), requests: Math.min(a.requests, b.requests)};
}

export function sumAmounts(list: Iterable<Amounts>): Amounts {
	let total = NO_AMOUNTS;
	for (const amounts of list) {
		total = addAmounts(total, amounts);
	}

	return total;
}

export function hasAmounts(a: Amounts): boolean {
	return a.tokens > 0 || a.requests > 0;
}

/** Whether `a` is at least `b` in both units. */
export function coversAmounts(a: Amounts, b: Amounts): boolean {
	return a.tokens >= b.tokens && a.requests >= b.requests;
}

export function getBurst(rate: Rate): Amounts {
	return {tokens: rate.burstTokens, requests: rate.burstRequests};
}

export function getPerSecond(rate: Rate): Amounts {
	return {tokens: rate.tokensPerSecond, requests: rate.requestsPerSecond};
}
