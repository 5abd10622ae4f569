import type {ChatRequest} from '@egretrill/common';
import xxhash from 'xxhash-wasm';
import {BLOCK_CHARS, MAX_PROMPT_BLOCKS} from './constants.js';

/** Hashes of the blocks of one prompt; each covers its block and everything before it. */
export type PromptBlocks = readonly string[];

/** Hashes prompts in the same way as engines identify their cached blocks in cache events. */
export type BlockHasher = (model: string, adapter: string | undefined, prompt: string) => PromptBlocks;

/** Loads the hash function once; hashing itself is synchronous. */
export async function createBlockHasher(): Promise<BlockHasher> {
	const {h64} = await xxhash();
	return (model, adapter, prompt) => {
		const blocks: string[] = [];
		// The cached state of a prefix depends on the weights, so the chain starts from model and adapter.
		let previous = h64(`${model}\n${adapter ?? ''}`);
		const blockCount = Math.min(MAX_PROMPT_BLOCKS, Math.floor(prompt.length / BLOCK_CHARS));
		for (let index = 0; index < blockCount; index++) {
			previous = h64(prompt.slice(index * BLOCK_CHARS, (index + 1) * BLOCK_CHARS), previous);
			blocks.push(previous.toString(16).padStart(16, '0'));
		}

		return blocks;
	};
}

/** Returns the prompt text whose blocks are compared between requests. */
export function getPromptText(req: ChatRequest): string {
	return req.messages.map(message => `${message.role}\n${message.content}\n`).join('');
}
