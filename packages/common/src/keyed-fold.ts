/**
 * Folds the numbers of many keys into one, such as their sum. A change costs the logarithm of the number of keys.
 * Each fold is made from the values themselves, so rounding does not add up over many changes as in a running sum.
 */
export class KeyedFold {
	private readonly slots = new Map<string, number>();
	/** A binary heap from index 1 on: each node folds the two below it, the last `capacity` nodes are the values. */
	private nodes: number[];
	private capacity = 1;

	/** A key without a value counts as `empty`, which must not change what it is combined with. */
	constructor(private readonly combine: (first: number, second: number) => number, private readonly empty = 0) {
		this.nodes = [empty, empty];
	}

	set(key: string, value: number): void {
		const slot = this.getSlot(key);
		let index = this.capacity + slot;
		this.nodes[index] = value;
		for (index = Math.floor(index / 2); index > 0; index = Math.floor(index / 2)) {
			this.nodes[index] = this.combine(this.at(2 * index), this.at((2 * index) + 1));
		}
	}

	/** The fold of all keys. */
	getAll(): number {
		return this.at(1);
	}

	/** The fold of all keys but one. */
	getOthers(key: string): number {
		const slot = this.slots.get(key);
		if (slot === undefined) {
			return this.getAll();
		}

		let others = this.empty;
		for (let index = this.capacity + slot; index > 1; index = Math.floor(index / 2)) {
			others = this.combine(others, this.at(index % 2 === 0 ? index + 1 : index - 1));
		}

		return others;
	}

	private at(index: number): number {
		return this.nodes[index] ?? this.empty;
	}

	private getSlot(key: string): number {
		const known = this.slots.get(key);
		if (known !== undefined) {
			return known;
		}

		const slot = this.slots.size;
		if (slot === this.capacity) {
			this.grow();
		}

		this.slots.set(key, slot);
		return slot;
	}

	private grow(): void {
		const values = this.nodes.slice(this.capacity);
		this.capacity *= 2;
		this.nodes = [...Array.from({length: this.capacity}, () => this.empty), ...values, ...Array.from({length: this.capacity - values.length}, () => this.empty)];
		for (let index = this.capacity - 1; index > 0; index--) {
			this.nodes[index] = this.combine(this.at(2 * index), this.at((2 * index) + 1));
		}
	}
}
