import {MS_PER_GENERATED_TOKEN, PROMPT_TOKENS_PER_MS} from './constants.js';

/** Estimates how long a request occupies a slot of an engine from the numbers of tokens that its caller names. */
export function estimateRunMs(tokensIn: number, tokensOut: number): number {
	return (tokensIn / PROMPT_TOKENS_PER_MS) + (tokensOut * MS_PER_GENERATED_TOKEN);
}
