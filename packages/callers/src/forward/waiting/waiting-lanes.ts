/** Rank of a waiting request; each part decides only between requests for which the parts before it are equal, and smaller ones go first. */
export type WaitingRank = {
	readonly priority: number;
	/** 0 for a caller that returns after a refusal, 1 for a first attempt. */
	readonly attempt: 0 | 1;
	/** Time by which the request has to be sent, in coarse steps. */
	readonly dueStep: number;
	/** How much of its share of the slots its customer has got recently. */
	readonly share: number;
};

/** A request in a lane. */
export type Ranked = {readonly rank: WaitingRank; readonly sequence: number};

/** Compares requests by what goes first. */
export function compareRanked(a: Ranked, b: Ranked): number {
	return a.rank.priority - b.rank.priority
		|| a.rank.attempt - b.rank.attempt
		|| a.rank.dueStep - b.rank.dueStep
		|| a.rank.share - b.rank.share
		|| a.sequence - b.sequence;
}

/** Index at which an item is inserted into a sorted list, after those of its rank. */
function findIndex<T extends Ranked>(items: readonly T[], item: Ranked): number {
	let low = 0;
	let high = items.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (compareRanked(items[middle]!, item) > 0) {
			high = middle;
		} else {
			low = middle + 1;
		}
	}

	return low;
}

/** Inserts an item into a sorted list. */
export function insertRanked<T extends Ranked>(items: T[], item: T): void {
	items.splice(findIndex(items, item), 0, item);
}

/** Requests that have the same requirements and are of the same kind, in the order in which they get slots. */
export class WaitingLane<T extends Ranked, Found> {
	/** What the last search for a slot found. */
	lastFound: Found;
	private readonly items: T[] = [];

	constructor(readonly requirementsKey: string, found: Found) {
		this.lastFound = found;
	}

	get size(): number {
		return this.items.length;
	}

	get head(): T | undefined {
		return this.items[0];
	}

	add(item: T): void {
		insertRanked(this.items, item);
	}

	/** Removes an item; returns whether it was there. */
	remove(item: T): boolean {
		const index = findIndex(this.items, item) - 1;
		const isFound = index >= 0 && this.items[index] === item;
		if (isFound) {
			this.items.splice(index, 1);
		}

		return isFound;
	}

	/** The item behind another one of the lane. */
	getNext(item: T): T | undefined {
		return this.items[findIndex(this.items, item)];
	}

	/** Number of items that go before another one. */
	countBefore(item: Ranked): number {
		return findIndex(this.items, item) - Number(this.items.at(findIndex(this.items, item) - 1)?.sequence === item.sequence);
	}

	/** The items in order; a copy, as refusals remove items. */
	list(): readonly T[] {
		return [...this.items];
	}
}
