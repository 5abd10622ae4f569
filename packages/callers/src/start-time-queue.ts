/** An entry of a start-time fair queue. */
export type QueueEntry = {readonly customer: string; readonly weight: number; readonly cost: number};

/** Entries of one customer; `finishTag` is where the service dispatched so far ends in virtual time. */
type Flow<Entry> = {
	entries: ReadonlyArray<{readonly entry: Entry; readonly arrivalTag: number}>;
	finishTag: number;
	backlog: number;
};

/** Start-time fair queue over customers: each gets service in proportion to its weight while it has entries. */
export class StartTimeQueue<Entry extends QueueEntry> {
	private readonly flows = new Map<string, Flow<Entry>>();
	private virtualTime = 0;
	private count = 0;

	get length(): number {
		return this.count;
	}

	push(entry: Entry): void {
		const flow = this.flows.get(entry.customer) ?? {entries: [], finishTag: 0, backlog: 0};
		flow.entries = [...flow.entries, {entry, arrivalTag: this.virtualTime}];
		flow.backlog += getService(entry);
		this.flows.set(entry.customer, flow);
		this.count += 1;
	}

	/** Takes the entry with the smallest start tag. */
	shift(): Entry | undefined {
		let next: {readonly flow: Flow<Entry>; readonly entry: Entry; readonly startTag: number} | undefined;
		for (const [customer, flow] of this.flows) {
			const [head] = flow.entries;
			if (!head) {
				this.forgetIfSpent(customer, flow);
				continue;
			}

			const startTag = Math.max(head.arrivalTag, flow.finishTag);
			if (!next || startTag < next.startTag) {
				next = {flow, entry: head.entry, startTag};
			}
		}

		if (!next) {
			return undefined;
		}

		const {flow, entry, startTag} = next;
		flow.entries = flow.entries.slice(1);
		flow.backlog -= getService(entry);
		flow.finishTag = startTag + getService(entry);
		this.virtualTime = startTag;
		this.count -= 1;
		return entry;
	}

	/** Removes an entry that gave up; its customer is not charged for it. */
	remove(entry: Entry): void {
		const flow = this.flows.get(entry.customer);
		const index = flow?.entries.findIndex(item => item.entry === entry) ?? -1;
		if (flow && index !== -1) {
			flow.entries = flow.entries.toSpliced(index, 1);
			flow.backlog -= getService(entry);
			this.count -= 1;
		}
	}

	/** Charges the customer of a dispatched entry for what it cost beyond its estimate, or credits it. */
	correct(entry: Entry, actualCost: number): void {
		const flow = this.flows.get(entry.customer);
		if (flow) {
			flow.finishTag += (actualCost - entry.cost) / entry.weight;
		}
	}

	/** The newest entry of the customer with the largest waiting cost for its weight. */
	getNewestOfLongest(): Entry | undefined {
		let longest: Flow<Entry> | undefined;
		for (const flow of this.flows.values()) {
			if (flow.entries.length > 0 && (!longest || flow.backlog > longest.backlog)) {
				longest = flow;
			}
		}

		return longest?.entries.at(-1)?.entry;
	}

	/** A customer without entries whose service lies in the virtual past needs no state. */
	private forgetIfSpent(customer: string, flow: Flow<Entry>): void {
		if (flow.finishTag <= this.virtualTime) {
			this.flows.delete(customer);
		}
	}
}

function getService(entry: QueueEntry): number {
	return entry.cost / entry.weight;
}
