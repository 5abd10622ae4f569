import type {CacheEvents, Clock} from '@egretrill/common';
import {
	CACHED_BLOCK_HALF_LIFE_MS, BLOCK_CHARS, EVICTION_BATCH_BLOCKS, CONFIDENCE_PER_MISSING_EVENT, MAX_CACHED_BLOCKS, MAX_CACHED_BLOCKS_PER_TARGET, MAX_TRACKED_TARGETS,
	MIN_CACHED_PROBABILITY, MIN_CONFIDENCE_AFTER_GAP,
} from './constants.js';
import type {BlockHasher, PromptBlocks} from './prompt-blocks.js';

const LOSS_PER_MS = Math.LN2 / CACHED_BLOCK_HALF_LIFE_MS;

/** A block, and the target's loss of trust to gaps when it was stored. */
type BelievedBlock = {readonly storedAtMs: number; readonly gapsAtStore: number};

type TargetBelief = {
	readonly startId: string;
	readonly blocks: Map<string, BelievedBlock>;
	/** Number of the next cache event; unknown until the first events of this start. */
	nextSeq: number | undefined;
	/** Sum of the logarithms of the trust lost to gaps; a block lost what was added since it was stored. */
	gapLoss: number;
};

/** What one host believes to be in the prompt caches of the engines. */
export class PrefixCacheEstimate {
	private readonly clock: Clock;
	private readonly hash: BlockHasher;
	private readonly targets = new Map<string, TargetBelief>();
	private size = 0;

	constructor(opts: {clock: Clock; hash: BlockHasher}) {
		this.clock = opts.clock;
		this.hash = opts.hash;
	}

	/** Hashes a prompt once for the comparison with many targets. */
	getBlocks(model: string, adapter: string | undefined, prompt: string): PromptBlocks {
		return this.hash(model, adapter, prompt);
	}

	/** Expected number of prompt characters that a target has cached. */
	getHitLength(targetId: string, startId: string, prompt: PromptBlocks): number {
		const target = this.targets.get(targetId);
		if (target?.startId !== startId) {
			return 0;
		}

		const nowMs = this.clock.now();
		let chars = 0;
		let loss = 0;
		let belief = 1;
		for (const hash of prompt) {
			const block = target.blocks.get(hash);
			if (!block) {
				break;
			}

			// A prefix is cached only as far as all blocks before it are, so the greatest loss counts from there on.
			const blockLoss = ((nowMs - block.storedAtMs) * LOSS_PER_MS) + target.gapLoss - block.gapsAtStore;
			if (blockLoss > loss) {
				loss = blockLoss;
				belief = Math.exp(-loss);
				if (belief < MIN_CACHED_PROBABILITY) {
					break;
				}
			}

			chars += belief * BLOCK_CHARS;
		}

		return chars;
	}

	/** Takes cache events of a target, which may repeat, come late or leave gaps. */
	recordEvents(targetId: string, startId: string, {firstSeq, events}: CacheEvents): void {
		const target = this.getTarget(targetId, startId);
		const missing = target.nextSeq === undefined ? 0 : firstSeq - target.nextSeq;
		if (missing > 0) {
			// Removals may be among the missing events.
			target.gapLoss -= Math.log(Math.max(MIN_CONFIDENCE_AFTER_GAP, CONFIDENCE_PER_MISSING_EVENT ** missing));
		}

		for (const event of events.slice(Math.max(0, -missing))) {
			if (event.op === 'stored') {
				this.store(target, event.hash);
			} else {
				this.drop(target, event.hash);
			}
		}

		target.nextSeq = Math.max(target.nextSeq ?? 0, firstSeq + events.length);
	}

	/** Notes that a target has just prefilled a prompt for this host. */
	recordCompleted(targetId: string, startId: string, prompt: PromptBlocks): void {
		const target = this.getTarget(targetId, startId);
		for (const hash of prompt) {
			this.store(target, hash);
		}
	}

	/** Drops what is believed of a target that is gone. */
	removeTarget(targetId: string): void {
		this.size -= this.targets.get(targetId)?.blocks.size ?? 0;
		this.targets.delete(targetId);
	}

	/** Number of blocks held, over all targets. */
	getSize(): number {
		return this.size;
	}

	private getTarget(targetId: string, startId: string): TargetBelief {
		const known = this.targets.get(targetId);
		if (known?.startId === startId) {
			return known;
		}

		this.removeTarget(targetId);
		if (this.targets.size >= MAX_TRACKED_TARGETS) {
			// The target known for longest; a live one is learned again from its next event.
			const [oldest] = this.targets.keys();
			this.removeTarget(oldest!);
		}

		const target: TargetBelief = {
			startId, blocks: new Map(), nextSeq: undefined, gapLoss: 0,
		};
		this.targets.set(targetId, target);
		return target;
	}

	private store(target: TargetBelief, hash: string): void {
		this.drop(target, hash);
		target.blocks.set(hash, {storedAtMs: this.clock.now(), gapsAtStore: target.gapLoss});
		this.size += 1;
		if (target.blocks.size > MAX_CACHED_BLOCKS_PER_TARGET) {
			this.dropOldest(target);
		} else if (this.size > MAX_CACHED_BLOCKS) {
			this.dropOldest(this.getLargest());
		}
	}

	private drop(target: TargetBelief, hash: string): void {
		this.size -= target.blocks.delete(hash) ? 1 : 0;
	}

	/** Drops several at once, so that a full belief does not search for the largest target on each store. */
	private dropOldest(target: TargetBelief): void {
		let remaining = EVICTION_BATCH_BLOCKS;
		for (const hash of target.blocks.keys()) {
			if (remaining === 0) {
				break;
			}

			remaining -= 1;
			this.drop(target, hash);
		}
	}

	private getLargest(): TargetBelief {
		const targets = [...this.targets.values()];
		let [largest] = targets;
		for (const target of targets) {
			largest = target.blocks.size > largest!.blocks.size ? target : largest;
		}

		return largest!;
	}
}
