import {MS_PER_GENERATED_TOKEN, PROMPT_TOKENS_PER_MS} from './constants.js';

/** How long a request will hold a place at an engine, from the tokens that its caller names. */
export function estimateRunMs(tokensIn: number, tokensOut: number): number {
	return (tokensIn / PROMPT_TOKENS_PER_MS) + (tokensOut * MS_PER_GENERATED_TOKEN);
}
