import {GENERATED_TOKEN_MS, READ_TOKENS_PER_MS} from './constants.js';

/** How long a request will hold a place at an engine, from the tokens that its caller names. */
export function estimateRunMs(tokensIn: number, tokensOut: number): number {
	return (tokensIn / READ_TOKENS_PER_MS) + (tokensOut * GENERATED_TOKEN_MS);
}
