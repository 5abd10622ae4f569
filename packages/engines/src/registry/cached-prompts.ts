import {MAX_CACHED_PARTS} from './constants.js';

type PromptPart = {readonly id: string; readonly tokens: number};

/** The last send of a part to a target: its time, and the tokens that requests of this host had written there until then. */
export type PartSend = {readonly sentMs: number; readonly writtenTokens: number};

const UNKNOWN_SEND: PartSend = {sentMs: 0, writtenTokens: 0};

/** Estimates which prompt parts each target has cached, from the requests this host has sent there. */
export class CachedPrompts {
	/** Chains of parts by target, least recently used first. */
	private readonly chains = new Map<string, Map<string, PartSend>>();

	record(targetId: string, model: string, parts: readonly PromptPart[], send = UNKNOWN_SEND): void {
		const targetChains = this.chains.get(targetId) ?? new Map<string, PartSend>();
		this.chains.set(targetId, targetChains);
		for (const chain of getChains(model, parts)) {
			targetChains.delete(chain);
			targetChains.set(chain, send);
		}

		for (const chain of targetChains.keys()) {
			if (targetChains.size <= MAX_CACHED_PARTS) {
				break;
			}

			targetChains.delete(chain);
		}
	}

	/** Returns a function that counts, for a target, the tokens of the leading parts that it has received before for the same model. */
	createCounter(model: string, parts: readonly PromptPart[]): (targetId: string) => number {
		let chains: readonly string[] | undefined;
		return targetId => {
			const targetChains = this.chains.get(targetId);
			if (!targetChains) {
				return 0;
			}

			chains ??= getChains(model, parts);
			let tokens = 0;
			for (const [i, chain] of chains.entries()) {
				if (!targetChains.has(chain)) {
					break;
				}

				tokens += parts[i]?.tokens ?? 0;
			}

			return tokens;
		};
	}

	/** Returns when each chain of parts was last sent to a target. */
	getSends(targetId: string): ReadonlyMap<string, PartSend> | undefined {
		return this.chains.get(targetId);
	}

	removeTarget(targetId: string): void {
		this.chains.delete(targetId);
	}
}

/** Returns a key for each part that includes all parts before it, since a cached part is only reusable after the same prefix. */
export function getChains(model: string, parts: readonly PromptPart[]): readonly string[] {
	let chain = model;
	return parts.map(({id}) => {
		chain = `${chain}/${id}`;
		return chain;
	});
}
