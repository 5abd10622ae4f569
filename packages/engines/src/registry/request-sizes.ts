import {DEFAULT_RUN_MS, REQUEST_SIZE_RATIO} from './constants.js';

/** Mean size of a service's requests. */
export type MeanSize = {readonly meanTokens: number; readonly meanNewTokens: number; readonly meanRunMs: number};

/** Size of a request whose answer is complete. */
export type AnsweredSize = {readonly tokens: number; readonly newTokens: number; readonly runMs: number};

function moveMean(mean: number, value: number): number {
	return mean + ((value - mean) * REQUEST_SIZE_RATIO);
}

/** Moving means of the requests of each service that this host has seen answered. */
export class RequestSizes {
	private readonly means = new Map<string, MeanSize>();

	record(service: string, {tokens, newTokens, runMs}: AnsweredSize): void {
		const known = this.means.get(service) ?? {meanTokens: tokens, meanNewTokens: newTokens, meanRunMs: runMs};
		this.means.set(service, {
			meanTokens: moveMean(known.meanTokens, tokens),
			meanNewTokens: moveMean(known.meanNewTokens, newTokens),
			meanRunMs: Math.max(1, moveMean(known.meanRunMs, runMs)),
		});
	}

	/** Returns the means of a service; until a request has been answered, those of a request of the given size. */
	get(service: string, tokens: number): MeanSize {
		return this.means.get(service) ?? {meanTokens: tokens, meanNewTokens: tokens, meanRunMs: DEFAULT_RUN_MS};
	}
}
