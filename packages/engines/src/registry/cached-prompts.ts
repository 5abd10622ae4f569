import {MAX_CACHED_PARTS} from './constants.js';

type PromptPart = {readonly id: string; readonly tokens: number};

/** Estimates which prompt parts each target has cached, from the requests this host has sent there. */
export class CachedPrompts {
	/** Chains of parts by target, least recently used first. */
	private readonly chains = new Map<string, Map<string, true>>();

	record(targetId: string, model: string, parts: readonly PromptPart[]): void {
		const targetChains = this.chains.get(targetId) ?? new Map<string, true>();
		this.chains.set(targetId, targetChains);
		for (const chain of getChains(model, parts)) {
			targetChains.delete(chain);
			targetChains.set(chain, true);
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

	removeTarget(targetId: string): void {
		this.chains.delete(targetId);
	}
}

/** Returns a key for each part that includes all parts before it, since a cached part is only reusable after the same prefix. */
function getChains(model: string, parts: readonly PromptPart[]): readonly string[] {
	let chain = model;
	return parts.map(({id}) => {
		chain = `${chain}/${id}`;
		return chain;
	});
}
