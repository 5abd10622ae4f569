import type {Clock} from './clock.js';

/** A holding up to this size may use the reserved part of a budget. */
export const SMALL_HOLDING_BYTES = 65_536;

/** Fraction of a budget that only small holdings may use, so that large ones cannot crowd them out. */
export const RESERVED_RATIO = 0.25;

/** Fraction of a budget that optional holdings may use together. */
export const OPTIONAL_RATIO = 0.5;

/** Counts as idle time in addition, so that of two holdings that have just grown the larger one gives way. */
const MIN_IDLE_MS = 1;

type HoldingOptions = {
	/** Called once when the holding must give way; its bytes no longer count then, and its owner drops them. */
	readonly onEvicted: () => void;
	/** Time for which the holding stays after it has grown, so that one that is arriving does not give way to each new one; 0 by default. */
	readonly minIdleMs?: number;
	/** Whether the owner can do without: the holding is never evicted and evicts no others, and all such holdings together may use a part of the budget. */
	readonly isOptional?: boolean;
};

/** Bytes that are held for one request, answer or message. Incomplete holdings may be evicted in favour of others. */
export class MemoryHolding {
	private heldBytes = 0;
	private lastGrownMs: number;
	private isComplete = false;
	private isClosed = false;
	private isEvicted = false;

	constructor(private readonly budget: MemoryBudget, private readonly clock: Clock, private readonly opts: HoldingOptions) {
		this.lastGrownMs = clock.now();
	}

	get bytes(): number {
		return this.heldBytes;
	}

	/** Whether the holding had to give way. */
	get wasEvicted(): boolean {
		return this.isEvicted;
	}

	get isOptional(): boolean {
		return this.opts.isOptional ?? false;
	}

	/** Holds more bytes if the budget has room for them or other holdings give way; otherwise nothing changes, and the owner gives way. */
	grow(bytes: number): boolean {
		if (this.isClosed || (bytes > 0 && !this.budget.makeRoom(this, bytes))) {
			return false;
		}

		this.heldBytes += bytes;
		this.lastGrownMs = this.clock.now();
		if (this.isClosed) {
			// A holding that gave way had this one released.
			this.release();
			return false;
		}

		return true;
	}

	/** Counts bytes that are in memory already; if that exceeds the budget, incomplete holdings give way, this one among them. */
	add(bytes: number): void {
		if (!this.isClosed) {
			this.heldBytes += bytes;
			this.lastGrownMs = this.clock.now();
			this.budget.recordAdded(this, bytes);
		}
	}

	/** Gives back a part of the bytes. */
	shrink(bytes: number): void {
		const returned = Math.min(bytes, this.heldBytes);
		this.heldBytes -= returned;
		this.budget.giveBack(this, returned);
	}

	/** Protects the holding from eviction, since what it belongs to has arrived completely. */
	complete(): void {
		this.isComplete = true;
	}

	/** Gives back all bytes and closes the holding, which no longer grows. */
	release(): void {
		this.isClosed = true;
		this.shrink(this.heldBytes);
	}

	/** The larger and the longer without a byte, the sooner a holding gives way; undefined if it may not. */
	getEvictionRank(): number | undefined {
		const idleMs = this.clock.now() - this.lastGrownMs;
		const mayStay = this.isComplete || this.isOptional || this.heldBytes === 0 || idleMs < (this.opts.minIdleMs ?? 0);
		return mayStay ? undefined : this.heldBytes * (idleMs + MIN_IDLE_MS);
	}

	/** Ends the holding in favour of another one. */
	evict(): void {
		this.isEvicted = true;
		this.release();
		this.opts.onEvicted();
	}
}

/** Limit on the bytes that a process holds for all its requests, answers and messages together. */
export class MemoryBudget {
	private readonly holdings = new Set<MemoryHolding>();
	private usedBytes = 0;
	private optionalBytes = 0;
	private evicted = 0;
	private refused = 0;

	constructor(private readonly clock: Clock, private readonly limitBytes: number) {}

	get heldBytes(): number {
		return this.usedBytes;
	}

	/** Number of holdings that gave way to others. */
	get evictedCount(): number {
		return this.evicted;
	}

	/** Number of times that a holding found no room to grow. */
	get refusedCount(): number {
		return this.refused;
	}

	/** Opens a holding without bytes. */
	open(opts: HoldingOptions): MemoryHolding {
		return new MemoryHolding(this, this.clock, opts);
	}

	/** Whether a new holding of this size would find room, if need be in place of incomplete ones that have received nothing for the given time. */
	hasRoom(bytes: number, idleMs = 0): boolean {
		const neededBytes = this.usedBytes + bytes - this.getLimit(bytes);
		return neededBytes <= 0 || this.pickEvicted(neededBytes, bytes * (idleMs + MIN_IDLE_MS)) !== undefined;
	}

	/** Counts further bytes of a holding, evicting others if needed; returns whether there is room. Called by holdings. */
	makeRoom(holding: MemoryHolding, bytes: number): boolean {
		const size = holding.bytes + bytes;
		const neededBytes = this.usedBytes + bytes - this.getLimit(size);
		if (holding.isOptional) {
			return this.growOptional(holding, bytes, neededBytes);
		}

		const evicted = neededBytes > 0 ? this.pickEvicted(neededBytes, size * MIN_IDLE_MS, holding) : [];
		if (!evicted) {
			this.refused += 1;
			return false;
		}

		this.count(holding, bytes);
		this.evict(evicted);
		return true;
	}

	/** Counts bytes that a holding has added; evicts holdings if the limit is exceeded. Called by holdings. */
	recordAdded(holding: MemoryHolding, bytes: number): void {
		this.count(holding, bytes);
		const excessBytes = this.usedBytes - this.limitBytes;
		if (excessBytes > 0) {
			this.evict(this.listEvicted(excessBytes, 0).evicted);
		}
	}

	/** Stops counting bytes of a holding. Called by holdings. */
	giveBack(holding: MemoryHolding, bytes: number): void {
		this.usedBytes -= bytes;
		this.optionalBytes -= holding.isOptional ? bytes : 0;
		if (holding.bytes === 0) {
			this.holdings.delete(holding);
		}
	}

	private growOptional(holding: MemoryHolding, bytes: number, neededBytes: number): boolean {
		const hasRoom = neededBytes <= 0 && this.optionalBytes + bytes <= this.limitBytes * OPTIONAL_RATIO;
		if (hasRoom) {
			this.count(holding, bytes);
		}

		return hasRoom;
	}

	private count(holding: MemoryHolding, bytes: number): void {
		this.usedBytes += bytes;
		this.optionalBytes += holding.isOptional ? bytes : 0;
		this.holdings.add(holding);
	}

	private evict(holdings: readonly MemoryHolding[]): void {
		for (const holding of holdings) {
			// One without bytes was released while another one gave way.
			if (holding.bytes > 0) {
				this.evicted += 1;
				holding.evict();
			}
		}
	}

	private getLimit(holdingBytes: number): number {
		return holdingBytes <= SMALL_HOLDING_BYTES ? this.limitBytes : this.limitBytes * (1 - RESERVED_RATIO);
	}

	/** Returns the holdings to evict, or undefined if those above the given rank do not hold enough. */
	private pickEvicted(neededBytes: number, rank: number, grown?: MemoryHolding): readonly MemoryHolding[] | undefined {
		const {evicted, isEnough} = this.listEvicted(neededBytes, rank, grown);
		return isEnough ? evicted : undefined;
	}

	/** Lists incomplete holdings above the given rank, highest first, until they hold the needed bytes. */
	private listEvicted(neededBytes: number, rank: number, grown?: MemoryHolding): {readonly evicted: readonly MemoryHolding[]; readonly isEnough: boolean} {
		const candidates = [...this.holdings]
			.map(holding => ({holding, rank: holding.getEvictionRank() ?? 0}))
			.filter(candidate => candidate.holding !== grown && candidate.rank > rank)
			.toSorted((left, right) => right.rank - left.rank);
		let leftBytes = neededBytes;
		const evicted: MemoryHolding[] = [];
		for (const {holding} of candidates) {
			if (leftBytes <= 0) {
				break;
			}

			evicted.push(holding);
			leftBytes -= holding.bytes;
		}

		return {evicted, isEnough: leftBytes <= 0};
	}
}
