/**
 * Folds the values of many keys into one number, such as their sum, with a segment tree: an update takes time logarithmic in the number of keys.
 * Each fold is computed from the current values, so rounding errors do not accumulate over many updates as in a running sum.
 */
export class KeyedFold {
	private readonly leafIndexes = new Map<string, number>();
	/** The tree in heap order from index 1: each inner node is the fold of its two children, and the last `capacity` nodes are the leaves with the values. */
	private nodes: number[];
	private capacity = 1;

	/** `identity` is the identity element of `combine`; it stands for keys without a value. */
	constructor(private readonly combine: (first: number, second: number) => number, private readonly identity = 0) {
		this.nodes = [identity, identity];
	}

	set(key: string, value: number): void {
		const leafIndex = this.getLeafIndex(key);
		let index = this.capacity + leafIndex;
		this.nodes[index] = value;
		for (index = Math.floor(index / 2); index > 0; index = Math.floor(index / 2)) {
			this.nodes[index] = this.combine(this.getNode(2 * index), this.getNode((2 * index) + 1));
		}
	}

	/** Returns the fold of all keys. */
	getAll(): number {
		return this.getNode(1);
	}

	/** Returns the fold of all keys except one. */
	getOthers(key: string): number {
		const leafIndex = this.leafIndexes.get(key);
		if (leafIndex === undefined) {
			return this.getAll();
		}

		let others = this.identity;
		for (let index = this.capacity + leafIndex; index > 1; index = Math.floor(index / 2)) {
			others = this.combine(others, this.getNode(index % 2 === 0 ? index + 1 : index - 1));
		}

		return others;
	}

	private getNode(index: number): number {
		return this.nodes[index] ?? this.identity;
	}

	private getLeafIndex(key: string): number {
		const existing = this.leafIndexes.get(key);
		if (existing !== undefined) {
			return existing;
		}

		const leafIndex = this.leafIndexes.size;
		if (leafIndex === this.capacity) {
			this.grow();
		}

		this.leafIndexes.set(key, leafIndex);
		return leafIndex;
	}

	private grow(): void {
		const values = this.nodes.slice(this.capacity);
		this.capacity *= 2;
		this.nodes = [...Array.from({length: this.capacity}, () => this.identity), ...values, ...Array.from({length: this.capacity - values.length}, () => this.identity)];
		for (let index = this.capacity - 1; index > 0; index--) {
			this.nodes[index] = this.combine(this.getNode(2 * index), this.getNode((2 * index) + 1));
		}
	}
}
