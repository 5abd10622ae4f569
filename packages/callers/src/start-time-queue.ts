import {CREDIT_REQUESTS} from './limits/constants.js';

/** An entry of a start-time fair queue. */
export type QueueEntry = {readonly customer: string; readonly weight: number; readonly cost: number};

type Item<Entry> = {readonly entry: Entry; readonly arrivalTag: number; readonly order: number};

/** Entries of one customer; `finishTag` is the virtual time at which its dispatched entries are finished. */
type Flow<Entry> = {
	entries: ReadonlyArray<Item<Entry>>;
	finishTag: number;
	backlog: number;
	lastNormalizedCost: number;
};

type Candidate<Entry> = {readonly flow: Flow<Entry>; readonly head: Item<Entry>; readonly startTag: number; readonly isWithinShare: boolean};

/**
 * Start-time fair queue over customers: each is served in proportion to its weight while it has entries.
 * A customer that used less than its share may catch up by a few requests, so that its small bursts do not wait.
 */
export class StartTimeQueue<Entry extends QueueEntry> {
	private readonly flows = new Map<string, Flow<Entry>>();
	private virtualTime = 0;
	private count = 0;
	private nextOrder = 0;

	get length(): number {
		return this.count;
	}

	push(entry: Entry): void {
		const flow = this.flows.get(entry.customer) ?? {
			entries: [], finishTag: Number.NEGATIVE_INFINITY, backlog: 0, lastNormalizedCost: 0,
		};
		flow.entries = [...flow.entries, {entry, arrivalTag: this.virtualTime, order: this.nextOrder++}];
		flow.backlog += getNormalizedCost(entry);
		this.flows.set(entry.customer, flow);
		this.count += 1;
	}

	/** Removes and returns the oldest entry of the customers within their share or, if there is none, the entry with the smallest start tag. */
	shift(): Entry | undefined {
		let next: Candidate<Entry> | undefined;
		for (const [customer, flow] of this.flows) {
			const [head] = flow.entries;
			if (!head) {
				this.removeIfCreditRestored(customer, flow);
				continue;
			}

			const startTag = Math.max(head.arrivalTag - (CREDIT_REQUESTS * getNormalizedCost(head.entry)), flow.finishTag);
			const candidate = {
				flow, head, startTag, isWithinShare: startTag <= this.virtualTime,
			};
			if (!next || isBefore(candidate, next)) {
				next = candidate;
			}
		}

		if (!next) {
			return undefined;
		}

		const {flow, head: {entry}, startTag} = next;
		flow.entries = flow.entries.slice(1);
		flow.backlog -= getNormalizedCost(entry);
		flow.lastNormalizedCost = getNormalizedCost(entry);
		flow.finishTag = startTag + flow.lastNormalizedCost;
		this.virtualTime = Math.max(this.virtualTime, startTag);
		this.count -= 1;
		return entry;
	}

	/** Removes an entry that timed out or was cancelled; its customer is not charged for it. */
	remove(entry: Entry): void {
		const flow = this.flows.get(entry.customer);
		const index = flow?.entries.findIndex(item => item.entry === entry) ?? -1;
		if (flow && index !== -1) {
			flow.entries = flow.entries.toSpliced(index, 1);
			flow.backlog -= getNormalizedCost(entry);
			this.count -= 1;
		}
	}

	/** Charges or credits the customer of a dispatched entry with the difference between actual and estimated cost. */
	correctCost(entry: Entry, actualCost: number): void {
		const flow = this.flows.get(entry.customer);
		if (flow) {
			flow.finishTag += (actualCost - entry.cost) / entry.weight;
		}
	}

	/** The newest entry of the customer whose waiting entries have the largest cost relative to its weight. */
	getNewestOfLargestBacklog(): Entry | undefined {
		let longest: Flow<Entry> | undefined;
		for (const flow of this.flows.values()) {
			if (flow.entries.length > 0 && (!longest || flow.backlog > longest.backlog)) {
				longest = flow;
			}
		}

		return longest?.entries.at(-1)?.entry;
	}

	/** Removes a customer without entries once its credit is fully restored. */
	private removeIfCreditRestored(customer: string, flow: Flow<Entry>): void {
		if (flow.finishTag + (CREDIT_REQUESTS * flow.lastNormalizedCost) <= this.virtualTime) {
			this.flows.delete(customer);
		}
	}
}

/** Customers within their share are served in order of arrival, which gives shorter maximum waits than the order of tags. */
function isBefore(a: Candidate<QueueEntry>, b: Candidate<QueueEntry>): boolean {
	if (a.isWithinShare !== b.isWithinShare) {
		return a.isWithinShare;
	}

	return a.isWithinShare ? a.head.order < b.head.order : a.startTag < b.startTag;
}

function getNormalizedCost(entry: QueueEntry): number {
	return entry.cost / entry.weight;
}
