import {Announcement, type CacheEvents} from '@egretrill/common';
import type {BlockHasher} from '@egretrill/engines';
import type {EventQueue} from './event-queue.js';

const BLOCK_CHARS = 64;
const PREFILL_MS_PER_CHAR = 0.03;
const BASE_PREFILL_MS = 15;
const TOKEN_MS = 12;

/** A request to an engine. */
export type EngineRequest = {
	readonly model: string;
	readonly prompt: string;
	readonly outputTokens: number;
	readonly onFirstToken: (hitChars: number) => void;
	readonly onEnd: () => void;
};

export type SimulatedEngineOptions = {
	readonly targetId: string;
	readonly zone: string;
	readonly models: readonly string[];
	readonly limit: number;
	readonly cacheBlocks: number;
	readonly hash: BlockHasher;
	readonly queue: EventQueue;
};

/** An engine with continuous batching and a bounded prefix cache, in simulated time. */
export class SimulatedEngine {
	running = 0;
	startCount = 1;
	private readonly waiting: EngineRequest[] = [];
	private readonly cache = new Map<string, string>();
	private events: Array<CacheEvents['events'][number]> = [];
	private nextSeq = 0;

	constructor(readonly opts: SimulatedEngineOptions) {}

	get outstanding(): number {
		return this.running + this.waiting.length;
	}

	submit(req: EngineRequest): void {
		this.waiting.push(req);
		this.startNext();
	}

	/** Creates an announcement of the current state, with the cache events since the previous one. */
	announce(cold = false): Announcement {
		const {targetId, zone, models, limit, cacheBlocks} = this.opts;
		const {events} = this;
		const firstSeq = this.nextSeq;
		this.events = [];
		this.nextSeq += events.length;
		return Announcement.parse({
			targetId,
			startId: `${targetId}-s${this.startCount}`,
			zone,
			address: '127.0.0.1:1',
			kind: 'engine',
			load: {
				running: this.running, waiting: this.waiting.length, limit, kvUsedRatio: Math.min(1, (0.5 * this.cache.size / cacheBlocks) + (0.4 * this.running / limit)),
			},
			resident: models.map(model => ({model, version: 'v1'})),
			cacheEvents: {firstSeq, events},
			cold,
		});
	}

	private startNext(): void {
		const {limit, queue} = this.opts;
		while (this.running < limit && this.waiting.length > 0) {
			const req = this.waiting.shift()!;
			this.running += 1;
			const slowdown = 1 + (this.running / limit);
			const hitChars = this.updateCache(req);
			const prefillMs = BASE_PREFILL_MS + ((req.prompt.length - hitChars) * PREFILL_MS_PER_CHAR * slowdown);
			queue.schedule(prefillMs, () => {
				req.onFirstToken(hitChars);
			});
			queue.schedule(prefillMs + (req.outputTokens * TOKEN_MS * ((1 + slowdown) / 2)), () => {
				this.running -= 1;
				req.onEnd();
				this.startNext();
			});
		}
	}

	/** Returns the length of the cached prefix in characters, then caches the whole prompt and evicts the least recently used blocks. */
	private updateCache({model, prompt}: EngineRequest): number {
		const blocks = this.opts.hash(model, undefined, prompt);
		const firstMiss = blocks.findIndex(hash => !this.cache.has(hash));
		for (const hash of blocks) {
			if (!this.cache.delete(hash)) {
				this.events.push({op: 'stored', model, hash});
			}

			this.cache.set(hash, model);
		}

		for (const [hash, cachedModel] of this.cache) {
			if (this.cache.size <= this.opts.cacheBlocks) {
				break;
			}

			this.cache.delete(hash);
			this.events.push({op: 'removed', model: cachedModel, hash});
		}

		return (firstMiss === -1 ? blocks.length : firstMiss) * BLOCK_CHARS;
	}
}
