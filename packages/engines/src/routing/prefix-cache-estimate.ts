import type {CacheEvents, Clock} from '@egretrill/common';
import {
	CACHED_BLOCK_HALF_LIFE_MS, BLOCK_CHARS, EVICTION_BATCH_BLOCKS, CONFIDENCE_PER_MISSING_EVENT, MAX_CACHED_BLOCKS, MAX_CACHED_BLOCKS_PER_TARGET, MAX_TRACKED_TARGETS,
	MIN_CACHED_PROBABILITY, MIN_CONFIDENCE_AFTER_GAP,
} from './constants.js';
import type {BlockHasher, PromptBlocks} from './prompt-blocks.js';

const AGE_LOSS_PER_MS = Math.LN2 / CACHED_BLOCK_HALF_LIFE_MS;

/** A block with the target's accumulated gap loss at the time it was stored. */
type CachedBlock = {readonly storedAtMs: number; readonly gapLossAtStore: number};

type TargetCache = {
	readonly startId: string;
	readonly blocks: Map<string, CachedBlock>;
	/** Sequence number of the next cache event; unknown until the first events of this start. */
	nextSeq: number | undefined;
	/** Sum of the negated logarithms of the confidence after each gap in the sequence; a block loses what was added since it was stored. */
	gapLoss: number;
};

/** One host's estimate of the contents of the engines' prompt caches. */
export class PrefixCacheEstimate {
	private readonly clock: Clock;
	private readonly hash: BlockHasher;
	private readonly targets = new Map<string, TargetCache>();
	private size = 0;

	constructor(opts: {clock: Clock; hash: BlockHasher}) {
		this.clock = opts.clock;
		this.hash = opts.hash;
	}

	/** Hashes a prompt once for lookups at many targets. */
	getBlocks(model: string, adapter: string | undefined, prompt: string): PromptBlocks {
		return this.hash(model, adapter, prompt);
	}

	/** Returns the expected number of prompt characters that a target has cached. */
	getHitLength(targetId: string, startId: string, prompt: PromptBlocks): number {
		const target = this.targets.get(targetId);
		if (target?.startId !== startId) {
			return 0;
		}

		const nowMs = this.clock.now();
		let chars = 0;
		let loss = 0;
		let probability = 1;
		for (const hash of prompt) {
			const block = target.blocks.get(hash);
			if (!block) {
				break;
			}

			// A block is only usable if all blocks before it are cached, so the greatest loss applies from there on.
			const blockLoss = ((nowMs - block.storedAtMs) * AGE_LOSS_PER_MS) + target.gapLoss - block.gapLossAtStore;
			if (blockLoss > loss) {
				loss = blockLoss;
				probability = Math.exp(-loss);
				if (probability < MIN_CACHED_PROBABILITY) {
					break;
				}
			}

			chars += probability * BLOCK_CHARS;
		}

		return chars;
	}

	/** Applies cache events of a target, which may be repeated, delayed or incomplete. */
	recordEvents(targetId: string, startId: string, {firstSeq, events}: CacheEvents): void {
		const target = this.getTarget(targetId, startId);
		const missingEvents = target.nextSeq === undefined ? 0 : firstSeq - target.nextSeq;
		if (missingEvents > 0) {
			// The missing events may include removals.
			target.gapLoss -= Math.log(Math.max(MIN_CONFIDENCE_AFTER_GAP, CONFIDENCE_PER_MISSING_EVENT ** missingEvents));
		}

		for (const event of events.slice(Math.max(0, -missingEvents))) {
			if (event.op === 'stored') {
				this.store(target, event.hash);
			} else {
				this.removeBlock(target, event.hash);
			}
		}

		target.nextSeq = Math.max(target.nextSeq ?? 0, firstSeq + events.length);
	}

	/** Records that a target has just prefilled a prompt for this host. */
	recordCompleted(targetId: string, startId: string, prompt: PromptBlocks): void {
		const target = this.getTarget(targetId, startId);
		for (const hash of prompt) {
			this.store(target, hash);
		}
	}

	/** Removes the estimate of a target that no longer exists. */
	removeTarget(targetId: string): void {
		this.size -= this.targets.get(targetId)?.blocks.size ?? 0;
		this.targets.delete(targetId);
	}

	/** Returns the number of stored blocks over all targets. */
	getSize(): number {
		return this.size;
	}

	private getTarget(targetId: string, startId: string): TargetCache {
		const existing = this.targets.get(targetId);
		if (existing?.startId === startId) {
			return existing;
		}

		this.removeTarget(targetId);
		if (this.targets.size >= MAX_TRACKED_TARGETS) {
			// Evicts the target that was added first; a live one is added again with its next event.
			const [oldest] = this.targets.keys();
			this.removeTarget(oldest!);
		}

		const target: TargetCache = {
			startId, blocks: new Map(), nextSeq: undefined, gapLoss: 0,
		};
		this.targets.set(targetId, target);
		return target;
	}

	private store(target: TargetCache, hash: string): void {
		this.removeBlock(target, hash);
		target.blocks.set(hash, {storedAtMs: this.clock.now(), gapLossAtStore: target.gapLoss});
		this.size += 1;
		if (target.blocks.size > MAX_CACHED_BLOCKS_PER_TARGET) {
			this.evictOldest(target);
		} else if (this.size > MAX_CACHED_BLOCKS) {
			this.evictOldest(this.getLargest());
		}
	}

	private removeBlock(target: TargetCache, hash: string): void {
		this.size -= target.blocks.delete(hash) ? 1 : 0;
	}

	/** Evicts a batch of blocks, so that a full estimate does not search for the largest target on each store. */
	private evictOldest(target: TargetCache): void {
		let remaining = EVICTION_BATCH_BLOCKS;
		for (const hash of target.blocks.keys()) {
			if (remaining === 0) {
				break;
			}

			remaining -= 1;
			this.removeBlock(target, hash);
		}
	}

	private getLargest(): TargetCache {
		const targets = [...this.targets.values()];
		let [largest] = targets;
		for (const target of targets) {
			largest = target.blocks.size > largest!.blocks.size ? target : largest;
		}

		return largest!;
	}
}
