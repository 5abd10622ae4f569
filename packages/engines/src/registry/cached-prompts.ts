import {MAX_CACHED_PARTS} from './constants.js';

type Part = {readonly id: string; readonly tokens: number};

/** Which prompt parts each target has probably kept, from what this host has sent there. */
export class CachedPrompts {
	/** For each target the chains of parts, the least recently used first. */
	private readonly chains = new Map<string, Map<string, true>>();

	record(targetId: string, model: string, parts: readonly Part[]): void {
		const known = this.chains.get(targetId) ?? new Map<string, true>();
		this.chains.set(targetId, known);
		for (const chain of getChains(model, parts)) {
			known.delete(chain);
			known.set(chain, true);
		}

		for (const chain of known.keys()) {
			if (known.size <= MAX_CACHED_PARTS) {
				break;
			}

			known.delete(chain);
		}
	}

	/** Tokens of the leading parts that the target has seen for the same model. */
	countTokens(targetId: string, model: string, parts: readonly Part[]): number {
		const known = this.chains.get(targetId);
		if (!known) {
			return 0;
		}

		let tokens = 0;
		for (const [i, chain] of getChains(model, parts).entries()) {
			if (!known.has(chain)) {
				break;
			}

			tokens += parts[i]?.tokens ?? 0;
		}

		return tokens;
	}

	removeTarget(targetId: string): void {
		this.chains.delete(targetId);
	}
}

/** A part is only reusable behind the same parts, so each is named with those before it. */
function getChains(model: string, parts: readonly Part[]): readonly string[] {
	let chain = model;
	return parts.map(({id}) => {
		chain = `${chain}/${id}`;
		return chain;
	});
}
