import {CLOCK_DRIFT_RATIO, type Model, type Order} from '@egretrill/common';
import {Result} from 'true-myth';
import {
	MAX_ACCEPTED_LOAD_MS, MAX_ADAPTER_LOAD_MS, MAX_RETIRED_START_IDS, MAX_UNANSWERED_MODEL_LOAD_MS, REPORT_MAX_AGE_MS,
} from './constants.js';
import type {
	EngineRole, LedgerEntry, MemoryUse, ReserveFailure, SettledOrder, TargetOrder, TargetReport,
} from './types.js';

type ModelOrder = Exclude<Order, {kind: 'set-role'}>;

/** A model version or adapter that may be in a target's memory; `versionKey` names the model version of either. */
type ResidentItem = {readonly key: string; readonly versionKey: string; readonly sinceMs: number};

/** What is known of the memory, roles and orders of one target. */
type TargetAccount = {
	readonly startId: string;
	readonly retiredStarts: readonly string[];
	readonly memoryMb: number;
	readonly reportedAtMs: number;
	/** Whether a report was made after all orders of an earlier owner had ended. */
	readonly isPredecessorSettled: boolean;
	readonly items: ReadonlyMap<string, ResidentItem>;
	/** Roles in recent reports, with the time of the latest report of each. */
	readonly roles: ReadonlyMap<EngineRole, number>;
	readonly entries: ReadonlyMap<string, LedgerEntry>;
};

type ReportStatus = Pick<TargetAccount, 'memoryMb' | 'reportedAtMs' | 'isPredecessorSettled'>;

export type LedgerOptions = {
	/** Time at which the orders of an earlier owner have ended; loads are refused until a report that was made after it. */
	readonly predecessorSettledAtMs?: number;
	readonly maxModelLoadMs?: number;
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
	const versionKey = getVersionKey(order.model, order.version);
	return 'adapter' in order ? `${versionKey}/${order.adapter}` : versionKey;
}

function listItems(report: TargetReport, atMs: number): Map<string, ResidentItem> {
	return new Map(report.resident.flatMap(({model, version, adapters}) => {
		const versionKey = getVersionKey(model, version);
		return [versionKey, ...adapters.map(adapter => `${versionKey}/${adapter}`)].map(key => [key, {key, versionKey, sinceMs: atMs}] as const);
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

/** Accounts of accelerator memory per target, in which an unsettled order counts as both executed and not executed. */
export class MemoryLedger {
	private readonly accounts = new Map<string, TargetAccount>();
	private readonly sizesMb = new Map<string, number>();

	constructor(private readonly opts: LedgerOptions = {}) {}

	/** Records sizes; sizes of earlier versions are kept, since their copies may still be resident. */
	setModels(models: readonly Model[]): void {
		for (const model of models) {
			const versionKey = getVersionKey(model.id, model.version);
			this.sizesMb.set(versionKey, model.memoryMb + model.kvReserveMb);
			for (const adapter of model.adapters) {
				this.sizesMb.set(`${versionKey}/${adapter.id}`, adapter.memoryMb);
			}
		}
	}

	/** Applies a target's report, with the time at which the first host received it, and returns the orders that it settles. */
	applyReport(report: TargetReport, receivedAtMs: number): readonly SettledOrder[] {
		const account = this.accounts.get(report.targetId);
		if (account?.retiredStarts.includes(report.startId)) {
			return [];
		}

		const isPredecessorSettled = receivedAtMs - REPORT_MAX_AGE_MS >= (this.opts.predecessorSettledAtMs ?? Number.NEGATIVE_INFINITY);
		const status = {
			memoryMb: report.memoryMb,
			reportedAtMs: Math.max(receivedAtMs, account?.reportedAtMs ?? receivedAtMs),
			isPredecessorSettled: isPredecessorSettled || (account?.isPredecessorSettled ?? false),
		};
		if (account?.startId !== report.startId) {
			this.accounts.set(report.targetId, {
				...status,
				startId: report.startId,
				retiredStarts: account === undefined ? [] : [account.startId, ...account.retiredStarts].slice(0, MAX_RETIRED_START_IDS),
				items: listItems(report, receivedAtMs),
				roles: new Map([[report.role, receivedAtMs]]),
				// A restarted engine no longer knows which orders it has executed and would execute a late copy again, so settled and accepted orders count as open.
				entries: new Map([...account?.entries ?? []].map(([orderId, entry]) => [orderId, reopen(entry)])),
			});
			return [];
		}

		return this.updateAccount(account, status, report, receivedAtMs);
	}

	/** Reserves memory for an order before it is sent; a repeated order keeps its reservation. */
	reserve({targetId, order}: TargetOrder, nowMs: number): Result<LedgerEntry, ReserveFailure> {
		const account = this.accounts.get(targetId);
		const earlierEntry = account?.entries.get(order.orderId);
		if (earlierEntry !== undefined) {
			return Result.ok(earlierEntry);
		}

		const failure = this.findReserveFailure(account, order, nowMs);
		if (account === undefined || failure !== undefined) {
			return Result.err(failure ?? {code: 'target-unknown', reason: `Target ${targetId} has not reported.`});
		}

		const entry: LedgerEntry = {
			order, startId: account.startId, state: 'reserved', expiresAtMs: Number.POSITIVE_INFINITY, attempts: 0,
		};
		this.setEntry(targetId, account, entry);
		return Result.ok(entry);
	}

	/** Records that an attempt is about to be written; the order may arrive from now on until it expires. */
	markSent(targetId: string, orderId: string, nowMs: number): void {
		this.updateEntry(targetId, orderId, entry => ({
			...entry,
			state: entry.state === 'reserved' ? 'open' : entry.state,
			attempts: entry.attempts + 1,
			expiresAtMs: entry.attempts === 0 ? nowMs + (entry.order.expiresInMs * (1 + CLOCK_DRIFT_RATIO)) : entry.expiresAtMs,
		}));
	}

	/** Records that the engine accepted the order, so that only its completion settles it. */
	markAccepted(targetId: string, orderId: string): void {
		this.updateEntry(targetId, orderId, entry => entry.state === 'open' ? {...entry, state: 'accepted'} : entry);
	}

	/** Releases a reservation once it is certain that the engine will never execute the order. */
	release(targetId: string, orderId: string): void {
		const account = this.accounts.get(targetId);
		if (account !== undefined) {
			this.accounts.set(targetId, {...account, entries: new Map([...account.entries].filter(([id]) => id !== orderId))});
		}
	}

	/** Returns the entry of an order, or undefined once it is no longer tracked. */
	getEntry(targetId: string, orderId: string): LedgerEntry | undefined {
		return this.accounts.get(targetId)?.entries.get(orderId);
	}

	/** Returns the start id that the target last reported. */
	getStartId(targetId: string): string | undefined {
		return this.accounts.get(targetId)?.startId;
	}

	/** Returns the most memory that may be in use on the target; an item of unknown size counts as all of it. */
	getUse(targetId: string): MemoryUse | undefined {
		const account = this.accounts.get(targetId);
		if (account === undefined) {
			return undefined;
		}

		const possibleMb = this.getPossibleMb(account);
		return {memoryMb: account.memoryMb, possibleMb, freeMb: Math.max(0, account.memoryMb - possibleMb)};
	}

	/** Returns whether an unsettled unload could remove this model from the target. */
	isUnloading(targetId: string, model: string): boolean {
		return [...this.accounts.get(targetId)?.entries.values() ?? []].some(({order, state}) => order.kind === 'unload-model' && order.model === model && state !== 'settled');
	}

	/** Returns whether the target certainly serves the phase, whichever of the unsettled role changes are executed. */
	canServePhase(targetId: string, phase: 'prefill' | 'decode'): boolean {
		const account = this.accounts.get(targetId);
		const possibleRoles = [...account?.entries.values() ?? []].flatMap(({order, state}) => order.kind === 'set-role' && state !== 'settled' ? [order.role] : []);
		return account !== undefined && account.isPredecessorSettled && [...account.roles.keys(), ...possibleRoles].every(role => role === phase || role === 'mixed');
	}

	/** Returns whether loads ordered by an earlier owner may still be in progress on the target. */
	isSettling(targetId: string): boolean {
		return !(this.accounts.get(targetId)?.isPredecessorSettled ?? false);
	}

	/** Drops the account of a target that has left once none of its orders can still arrive; returns whether it was dropped. */
	dropTarget(targetId: string, nowMs: number): boolean {
		const account = this.accounts.get(targetId);
		const hasUnexpiredOrder = [...account?.entries.values() ?? []].some(entry => entry.expiresAtMs > nowMs);
		return !hasUnexpiredOrder && this.accounts.delete(targetId);
	}

	private updateAccount(account: TargetAccount, status: ReportStatus, report: TargetReport, receivedAtMs: number): readonly SettledOrder[] {
		const reported = listItems(report, receivedAtMs);
		const reportedOrderIds = new Set(report.settledOrders);
		const earliestReportMs = receivedAtMs - REPORT_MAX_AGE_MS;
		const settled: SettledOrder[] = [];
		const entries = new Map<string, LedgerEntry>();
		const unloaded = new Set<string>();
		for (const [orderId, entry] of account.entries) {
			const isExpired = earliestReportMs >= entry.expiresAtMs;
			if (entry.state === 'settled' || entry.state === 'reserved' || !this.isSettledBy(entry, reportedOrderIds, reported, earliestReportMs)) {
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

		// A report may be older than one received before it, so an item is dropped only if it was certainly removed since.
		const retainedItems = [...account.items].filter(([key, item]) => !reported.has(key) && !unloaded.has(key) && !unloaded.has(item.versionKey) && item.sinceMs > earliestReportMs);
		const reportedItems = [...reported].map(([key, item]) => [key, {...item, sinceMs: Math.max(item.sinceMs, account.items.get(key)?.sinceMs ?? item.sinceMs)}] as const);
		this.accounts.set(report.targetId, {
			...account,
			...status,
			entries,
			items: new Map([...retainedItems, ...reportedItems]),
			roles: new Map([...[...account.roles].filter(([, atMs]) => atMs > earliestReportMs), [report.role, receivedAtMs]]),
		});
		return settled;
	}

	private isSettledBy({order, state, expiresAtMs}: LedgerEntry, reportedOrderIds: ReadonlySet<string>, reported: ReadonlyMap<string, ResidentItem>, earliestReportMs: number): boolean {
		if (reportedOrderIds.has(order.orderId)) {
			return true;
		}

		// A load in progress is not reported as resident until it ends.
		const isLoadNotReported = isModelOrder(order) && isLoad(order) && !reported.has(getItemKey(order));
		const maxLoadMs = state === 'accepted' ? MAX_ACCEPTED_LOAD_MS : this.getMaxLoadMs(order);
		return earliestReportMs >= expiresAtMs + (isLoadNotReported ? maxLoadMs : 0);
	}

	private isApplied(order: Order, report: TargetReport, reported: ReadonlyMap<string, ResidentItem>): boolean {
		return isModelOrder(order) ? isLoad(order) === reported.has(getItemKey(order)) : report.settledOrders.includes(order.orderId) || report.role === order.role;
	}

	private getMaxLoadMs(order: Order): number {
		return 'adapter' in order ? MAX_ADAPTER_LOAD_MS : this.opts.maxModelLoadMs ?? MAX_UNANSWERED_MODEL_LOAD_MS;
	}

	private findReserveFailure(account: TargetAccount | undefined, order: Order, nowMs: number): ReserveFailure | undefined {
		if (account === undefined) {
			return undefined;
		}

		if (nowMs - account.reportedAtMs > REPORT_MAX_AGE_MS) {
			return {code: 'report-too-old', reason: `The latest report is ${Math.round(nowMs - account.reportedAtMs)} ms old.`};
		}

		const earlier = [...account.entries.values()].find(entry => entry.state !== 'settled' && isConflict(entry.order, order));
		if (earlier !== undefined) {
			return {code: 'order-conflict', reason: `Order ${earlier.order.orderId} for the same contents is not settled.`};
		}

		return isModelOrder(order) && isLoad(order) ? this.findLoadFailure(account, order) : undefined;
	}

	private findLoadFailure(account: TargetAccount, order: ModelOrder): ReserveFailure | undefined {
		if (!account.isPredecessorSettled) {
			return {code: 'settling', reason: 'Loads ordered by an earlier zone owner may still be under way.'};
		}

		const key = getItemKey(order);
		const sizeMb = this.sizesMb.get(key);
		if (sizeMb === undefined) {
			return {code: 'size-unknown', reason: `The size of ${key} is not configured.`};
		}

		const possible = this.listPossibleItems(account);
		const usedMb = this.sumMb(account, possible);
		const neededMb = possible.has(key) ? 0 : sizeMb;
		return usedMb + neededMb > account.memoryMb
			? {code: 'memory-short', reason: `${key} needs ${neededMb} MB, but ${usedMb} of ${account.memoryMb} MB may be in use.`}
			: undefined;
	}

	/** Lists everything that may be in memory, whichever of the unsettled orders are executed. */
	private listPossibleItems(account: TargetAccount): ReadonlySet<string> {
		const ordered = [...account.entries.values()].filter(({state}) => state !== 'settled').flatMap(({order}) => isModelOrder(order) && isLoad(order) ? [getItemKey(order)] : []);
		return new Set([...account.items.keys(), ...ordered]);
	}

	private getPossibleMb(account: TargetAccount): number {
		return this.sumMb(account, this.listPossibleItems(account));
	}

	private sumMb(account: TargetAccount, keys: ReadonlySet<string>): number {
		let totalMb = 0;
		for (const key of keys) {
			totalMb += this.sizesMb.get(key) ?? account.memoryMb;
		}

		return totalMb;
	}

	private setEntry(targetId: string, account: TargetAccount, entry: LedgerEntry): void {
		this.accounts.set(targetId, {...account, entries: new Map([...account.entries, [entry.order.orderId, entry]])});
	}

	private updateEntry(targetId: string, orderId: string, update: (entry: LedgerEntry) => LedgerEntry): void {
		const account = this.accounts.get(targetId);
		const entry = account?.entries.get(orderId);
		if (account !== undefined && entry !== undefined) {
			this.setEntry(targetId, account, update(entry));
		}
	}
}
