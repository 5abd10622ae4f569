import {CLOCK_DRIFT_RATIO, type Model, type Order} from '@egretrill/common';
import {Result} from 'true-myth';
import {
	ACCEPTED_LOAD_BOUND_MS, ADAPTER_LOAD_BOUND_MS, MODEL_LOAD_BOUND_MS, REPORT_MAX_AGE_MS, RETIRED_STARTS,
} from './constants.js';
import type {
	EngineRole, LedgerEntry, MemoryUse, ReserveFailure, SettledOrder, TargetOrder, TargetReport,
} from './types.js';

type ModelOrder = Exclude<Order, {kind: 'set-role'}>;

/** A model version or adapter that may be in a target's memory. */
type Item = {readonly key: string; readonly owner: string; readonly sinceMs: number};

type Book = {
	readonly startId: string;
	readonly retiredStarts: readonly string[];
	readonly memoryMb: number;
	readonly reportedAtMs: number;
	/** Latest report made when no order of an earlier owner could still be at work. */
	readonly quiet: boolean;
	readonly items: ReadonlyMap<string, Item>;
	/** Roles that reports have shown lately, with the time of the last such report. */
	readonly roles: ReadonlyMap<EngineRole, number>;
	readonly entries: ReadonlyMap<string, LedgerEntry>;
};

type Freshness = Pick<Book, 'memoryMb' | 'reportedAtMs' | 'quiet'>;

export type LedgerOptions = {
	/** Loads are refused until a report made after this time, when an earlier owner's orders have ended. */
	readonly quietAtMs?: number;
	readonly modelLoadBoundMs?: number;
};

function isModelOrder(order: Order): order is ModelOrder {
	return order.kind !== 'set-role';
}

function isLoad(order: Order): boolean {
	return order.kind === 'load-model' || order.kind === 'load-adapter';
}

function getVersionKey(model: string, version: string): string {
	return `${model}@${version}`;
}

function getItemKey(order: ModelOrder): string {
	const owner = getVersionKey(order.model, order.version);
	return 'adapter' in order ? `${owner}/${order.adapter}` : owner;
}

function listItems(report: TargetReport, atMs: number): Map<string, Item> {
	return new Map(report.resident.flatMap(({model, version, adapters}) => {
		const owner = getVersionKey(model, version);
		return [owner, ...adapters.map(adapter => `${owner}/${adapter}`)].map(key => [key, {key, owner, sinceMs: atMs}] as const);
	}));
}

function reopen(entry: LedgerEntry): LedgerEntry {
	return entry.state === 'settled' || entry.state === 'accepted' ? {...entry, state: 'open'} : entry;
}

function isConflict(earlier: Order, later: Order): boolean {
	if (!isModelOrder(earlier) || !isModelOrder(later)) {
		return !isModelOrder(earlier) && !isModelOrder(later);
	}

	if (earlier.model !== later.model || earlier.version !== later.version) {
		return false;
	}

	return 'adapter' in earlier && 'adapter' in later ? earlier.adapter === later.adapter : true;
}

/** Books of accelerator memory per target, in which an unsettled order counts in both states. */
export class MemoryLedger {
	private readonly books = new Map<string, Book>();
	private readonly sizesMb = new Map<string, number>();

	constructor(private readonly opts: LedgerOptions = {}) {}

	/** Records sizes; sizes of earlier versions stay known, since their copies may still be resident. */
	setModels(models: readonly Model[]): void {
		for (const model of models) {
			const owner = getVersionKey(model.id, model.version);
			this.sizesMb.set(owner, model.memoryMb + model.kvReserveMb);
			for (const adapter of model.adapters) {
				this.sizesMb.set(`${owner}/${adapter.id}`, adapter.memoryMb);
			}
		}
	}

	/** Takes in a target's report, at the time when the first host received it, and returns the orders that it settles. */
	applyReport(report: TargetReport, receivedAtMs: number): readonly SettledOrder[] {
		const book = this.books.get(report.targetId);
		if (book?.retiredStarts.includes(report.startId)) {
			return [];
		}

		const quiet = receivedAtMs - REPORT_MAX_AGE_MS >= (this.opts.quietAtMs ?? Number.NEGATIVE_INFINITY);
		const fresh = {memoryMb: report.memoryMb, reportedAtMs: Math.max(receivedAtMs, book?.reportedAtMs ?? receivedAtMs), quiet: quiet || (book?.quiet ?? false)};
		if (book?.startId !== report.startId) {
			this.books.set(report.targetId, {
				...fresh,
				startId: report.startId,
				retiredStarts: book === undefined ? [] : [book.startId, ...book.retiredStarts].slice(0, RETIRED_STARTS),
				items: listItems(report, receivedAtMs),
				roles: new Map([[report.role, receivedAtMs]]),
				// A restarted engine has forgotten which orders it carried out, so a late copy of any of them counts again.
				entries: new Map([...book?.entries ?? []].map(([orderId, entry]) => [orderId, reopen(entry)])),
			});
			return [];
		}

		return this.updateBook(book, fresh, report, receivedAtMs);
	}

	/** Sets memory aside for an order before it is sent; a repeated order keeps its reservation. */
	reserve({targetId, order}: TargetOrder, nowMs: number): Result<LedgerEntry, ReserveFailure> {
		const book = this.books.get(targetId);
		const known = book?.entries.get(order.orderId);
		if (known !== undefined) {
			return Result.ok(known);
		}

		const failure = this.findReserveFailure(book, order, nowMs);
		if (book === undefined || failure !== undefined) {
			return Result.err(failure ?? {code: 'target-unknown', reason: `Target ${targetId} has not reported.`});
		}

		const entry: LedgerEntry = {
			order, startId: book.startId, state: 'reserved', expiresAtMs: Number.POSITIVE_INFINITY, attempts: 0,
		};
		this.setEntry(targetId, book, entry);
		return Result.ok(entry);
	}

	/** Records that an attempt is about to be written; from now on the order may arrive until it expires. */
	markSent(targetId: string, orderId: string, nowMs: number): void {
		this.updateEntry(targetId, orderId, entry => ({
			...entry,
			state: entry.state === 'reserved' ? 'open' : entry.state,
			attempts: entry.attempts + 1,
			expiresAtMs: entry.attempts === 0 ? nowMs + (entry.order.expiresInMs * (1 + CLOCK_DRIFT_RATIO)) : entry.expiresAtMs,
		}));
	}

	/** Records that the engine took the order, so that only its completion settles it. */
	markAccepted(targetId: string, orderId: string): void {
		this.updateEntry(targetId, orderId, entry => entry.state === 'open' ? {...entry, state: 'accepted'} : entry);
	}

	/** Gives a reservation back when it is certain that the engine will never carry the order out. */
	release(targetId: string, orderId: string): void {
		const book = this.books.get(targetId);
		if (book !== undefined) {
			this.books.set(targetId, {...book, entries: new Map([...book.entries].filter(([id]) => id !== orderId))});
		}
	}

	/** Returns the state of an order, or undefined once it needs no bookkeeping. */
	getEntry(targetId: string, orderId: string): LedgerEntry | undefined {
		return this.books.get(targetId)?.entries.get(orderId);
	}

	/** Returns the start id that the target last reported. */
	getStartId(targetId: string): string | undefined {
		return this.books.get(targetId)?.startId;
	}

	/** Returns the most that the target may hold; sizes that are unknown fill it. */
	getUse(targetId: string): MemoryUse | undefined {
		const book = this.books.get(targetId);
		if (book === undefined) {
			return undefined;
		}

		const possibleMb = this.sumPossibleMb(book);
		return {memoryMb: book.memoryMb, possibleMb, freeMb: Math.max(0, book.memoryMb - possibleMb)};
	}

	/** Returns whether an unload could remove this model version from the target. */
	isUnloading(targetId: string, model: string): boolean {
		return [...this.books.get(targetId)?.entries.values() ?? []].some(({order, state}) => order.kind === 'unload-model' && order.model === model && state !== 'settled');
	}

	/** Returns whether the target certainly does the phase, whichever of the unsettled role changes are carried out. */
	isAbleTo(targetId: string, phase: 'prefill' | 'decode'): boolean {
		const book = this.books.get(targetId);
		const ordered = [...book?.entries.values() ?? []].flatMap(({order, state}) => order.kind === 'set-role' && state !== 'settled' ? [order.role] : []);
		return book !== undefined && book.quiet && [...book.roles.keys(), ...ordered].every(role => role === phase || role === 'mixed');
	}

	/** Returns whether loads that an earlier owner ordered may still be under way on the target. */
	isSettling(targetId: string): boolean {
		return !(this.books.get(targetId)?.quiet ?? false);
	}

	/** Forgets a target that has left, once none of its orders can still arrive. */
	dropTarget(targetId: string, nowMs: number): boolean {
		const book = this.books.get(targetId);
		const isWaiting = [...book?.entries.values() ?? []].some(entry => entry.expiresAtMs > nowMs);
		return !isWaiting && this.books.delete(targetId);
	}

	private updateBook(book: Book, fresh: Freshness, report: TargetReport, receivedAtMs: number): readonly SettledOrder[] {
		const reported = listItems(report, receivedAtMs);
		const named = new Set(report.settledOrders);
		const madeAtMs = receivedAtMs - REPORT_MAX_AGE_MS;
		const settled: SettledOrder[] = [];
		const entries = new Map<string, LedgerEntry>();
		const unloaded = new Set<string>();
		for (const [orderId, entry] of book.entries) {
			const isExpired = madeAtMs >= entry.expiresAtMs;
			if (entry.state === 'settled' || entry.state === 'reserved' || !this.isSettledBy(entry, named, reported, madeAtMs)) {
				if (entry.state !== 'settled' || !isExpired) {
					entries.set(orderId, entry);
				}

				continue;
			}

			settled.push({orderId, applied: this.isApplied(entry.order, report, reported)});
			if (isModelOrder(entry.order) && !isLoad(entry.order)) {
				unloaded.add(getItemKey(entry.order));
			}

			if (!isExpired) {
				entries.set(orderId, {...entry, state: 'settled'});
			}
		}

		// A report may be older than one received before it, so an item is dropped only when it certainly went away since.
		const kept = [...book.items].filter(([key, item]) => !reported.has(key) && !unloaded.has(key) && !unloaded.has(item.owner) && item.sinceMs > madeAtMs);
		const listed = [...reported].map(([key, item]) => [key, {...item, sinceMs: Math.max(item.sinceMs, book.items.get(key)?.sinceMs ?? item.sinceMs)}] as const);
		this.books.set(report.targetId, {
			...book,
			...fresh,
			entries,
			items: new Map([...kept, ...listed]),
			roles: new Map([...[...book.roles].filter(([, atMs]) => atMs > madeAtMs), [report.role, receivedAtMs]]),
		});
		return settled;
	}

	private isSettledBy({order, state, expiresAtMs}: LedgerEntry, named: ReadonlySet<string>, reported: ReadonlyMap<string, Item>, madeAtMs: number): boolean {
		if (named.has(order.orderId)) {
			return true;
		}

		// A load that has begun is not listed among the contents until it ends.
		const isMissing = isModelOrder(order) && isLoad(order) && !reported.has(getItemKey(order));
		const boundMs = state === 'accepted' ? ACCEPTED_LOAD_BOUND_MS : this.getLoadBoundMs(order);
		return madeAtMs >= expiresAtMs + (isMissing ? boundMs : 0);
	}

	private isApplied(order: Order, report: TargetReport, reported: ReadonlyMap<string, Item>): boolean {
		return isModelOrder(order) ? isLoad(order) === reported.has(getItemKey(order)) : report.settledOrders.includes(order.orderId) || report.role === order.role;
	}

	private getLoadBoundMs(order: Order): number {
		return 'adapter' in order ? ADAPTER_LOAD_BOUND_MS : this.opts.modelLoadBoundMs ?? MODEL_LOAD_BOUND_MS;
	}

	private findReserveFailure(book: Book | undefined, order: Order, nowMs: number): ReserveFailure | undefined {
		if (book === undefined) {
			return undefined;
		}

		if (nowMs - book.reportedAtMs > REPORT_MAX_AGE_MS) {
			return {code: 'report-too-old', reason: `The latest report is ${Math.round(nowMs - book.reportedAtMs)} ms old.`};
		}

		const earlier = [...book.entries.values()].find(entry => entry.state !== 'settled' && isConflict(entry.order, order));
		if (earlier !== undefined) {
			return {code: 'order-conflict', reason: `Order ${earlier.order.orderId} for the same contents is not settled.`};
		}

		return isModelOrder(order) && isLoad(order) ? this.findLoadFailure(book, order) : undefined;
	}

	private findLoadFailure(book: Book, order: ModelOrder): ReserveFailure | undefined {
		if (!book.quiet) {
			return {code: 'settling', reason: 'Loads ordered by an earlier zone owner may still be under way.'};
		}

		const key = getItemKey(order);
		const sizeMb = this.sizesMb.get(key);
		if (sizeMb === undefined) {
			return {code: 'size-unknown', reason: `The size of ${key} is not configured.`};
		}

		const possible = this.listPossible(book);
		const usedMb = this.sumMb(book, possible);
		const neededMb = possible.has(key) ? 0 : sizeMb;
		return usedMb + neededMb > book.memoryMb
			? {code: 'memory-short', reason: `${key} needs ${neededMb} MB, but ${usedMb} of ${book.memoryMb} MB may be in use.`}
			: undefined;
	}

	/** Lists everything that may be in memory, whichever of the unsettled orders are carried out. */
	private listPossible(book: Book): ReadonlySet<string> {
		const ordered = [...book.entries.values()].filter(({state}) => state !== 'settled').flatMap(({order}) => isModelOrder(order) && isLoad(order) ? [getItemKey(order)] : []);
		return new Set([...book.items.keys(), ...ordered]);
	}

	private sumPossibleMb(book: Book): number {
		return this.sumMb(book, this.listPossible(book));
	}

	private sumMb(book: Book, keys: ReadonlySet<string>): number {
		let totalMb = 0;
		for (const key of keys) {
			totalMb += this.sizesMb.get(key) ?? book.memoryMb;
		}

		return totalMb;
	}

	private setEntry(targetId: string, book: Book, entry: LedgerEntry): void {
		this.books.set(targetId, {...book, entries: new Map([...book.entries, [entry.order.orderId, entry]])});
	}

	private updateEntry(targetId: string, orderId: string, update: (entry: LedgerEntry) => LedgerEntry): void {
		const book = this.books.get(targetId);
		const entry = book?.entries.get(orderId);
		if (book !== undefined && entry !== undefined) {
			this.setEntry(targetId, book, update(entry));
		}
	}
}
