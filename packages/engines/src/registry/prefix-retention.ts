import {DISPLACEMENT_EXPONENT} from './constants.js';

/** How an engine's memory for prompt parts is used. */
export type PrefixMemory = {
	/** Tokens that the engine's memory holds, of running requests and of kept parts together. */
	readonly capacityTokens: number;
	/** Requests of all hosts there, and those of the other hosts alone. */
	readonly outstanding: number;
	readonly otherRequests: number;
	/** Mean tokens of a request, and those of them that were not kept there before. */
	readonly meanTokens: number;
	readonly meanNewTokens: number;
	readonly meanRunMs: number;
	/** Time since this host learned of the engine's process. */
	readonly knownForMs: number;
};

/** What is known of the use of one prompt part at an engine. */
export type PartUse = {
	/** Time since this host last sent it there; undefined if it never has. */
	readonly sinceSentMs: number | undefined;
	/** Tokens that requests of this host have written there since. */
	readonly ownWrittenTokens: number;
	/** Requests of the other hosts with this part, expected at the engine per millisecond. */
	readonly otherSendsPerMs: number;
};

/** Tokens of memory that running requests leave to parts that none of them uses. */
export function getSpareTokens({capacityTokens, outstanding, meanTokens}: PrefixMemory): number {
	return Math.max(1, capacityTokens - (outstanding * meanTokens));
}

/** Probability that a part that this host has sent is kept. The least recently used parts yield, so what counts is the tokens written since its request ended. */
function getOwnRetention({sinceSentMs, ownWrittenTokens}: PartUse, memory: PrefixMemory): number {
	if (sinceSentMs === undefined) {
		return 0;
	}

	const unusedMs = Math.max(0, sinceSentMs - memory.meanRunMs);
	const writtenTokens = ownWrittenTokens + (unusedMs * memory.otherRequests * memory.meanNewTokens / memory.meanRunMs);
	return 1 / (1 + ((writtenTokens / getSpareTokens(memory)) ** DISPLACEMENT_EXPONENT));
}

/** Probability that another host has sent the part so recently that it is kept. */
function getOthersRetention({otherSendsPerMs}: PartUse, memory: PrefixMemory): number {
	if (otherSendsPerMs === 0) {
		return 0;
	}

	const writtenPerMs = memory.outstanding * memory.meanNewTokens / memory.meanRunMs;
	const keptMs = memory.meanRunMs + (getSpareTokens(memory) / writtenPerMs);
	return 1 - Math.exp(-otherSendsPerMs * Math.min(memory.knownForMs, keptMs));
}

/** Estimates the probability that an engine still holds a prompt part. */
export function estimateRetention(use: PartUse, memory: PrefixMemory): number {
	return 1 - ((1 - getOwnRetention(use, memory)) * (1 - getOthersRetention(use, memory)));
}

/** Expected tokens that need no prefill. A part is reusable only after all parts before it. */
export function estimateKeptTokens(parts: ReadonlyArray<{readonly tokens: number; readonly use: PartUse}>, memory: PrefixMemory): number {
	let retention = 1;
	let tokens = 0;
	for (const part of parts) {
		retention = Math.min(retention, estimateRetention(part.use, memory));
		if (retention === 0) {
			break;
		}

		tokens += part.tokens * retention;
	}

	return tokens;
}
