import {type Clock, groupBy} from '@egretrill/common';
import type {AdapterUse} from '../registry/index.js';
import {ADAPTER_USE_TTL_MS, MIN_ADAPTER_AGE_MS} from './constants.js';

/** An adapter that an engine holds. */
export type HeldAdapter = {readonly model: string; readonly adapter: string};

/** Whether an engine has a free slot for an adapter, or which adapter to evict; `full` while all of them are in use. */
export type AdapterSlotChoice = {readonly kind: 'free' | 'full'} | {readonly kind: 'evict'; readonly evicted: HeldAdapter};

function getKey({model, adapter}: HeldAdapter): string {
	return JSON.stringify([model, adapter]);
}

/** The latest report of which adapters the requests of one host use. */
type UseReport = {
	readonly uses: readonly AdapterUse[];
	readonly receivedAtMs: number;
	/** The uses by target, grouped on first access, since most reports are replaced before that. */
	byTarget?: ReadonlyMap<string, readonly AdapterUse[]>;
};

/** Decides which adapter is evicted for another one, for engines with fewer slots than adapters in demand. */
export class AdapterSlots {
	private readonly uses = new Map<string, UseReport>();
	/** Times at which adapters were loaded, by engine and adapter. */
	private readonly loadedAtMs = new Map<string, Map<string, number>>();

	constructor(private readonly clock: Clock) {}

	/** Replaces the report of the adapters that the requests of one host use. */
	recordUse(hostId: string, uses: readonly AdapterUse[]): void {
		this.uses.set(hostId, {uses, receivedAtMs: this.clock.now()});
	}

	recordLoad(targetId: string, adapter: HeldAdapter): void {
		const loaded = this.loadedAtMs.get(targetId) ?? new Map<string, number>();
		this.loadedAtMs.set(targetId, loaded.set(getKey(adapter), this.clock.now()));
	}

	/** Finds a slot for one more adapter. Of the adapters that no request uses, the one with the least demand is evicted; an adapter that was just loaded is kept for the requests that waited for it. */
	chooseSlot(targetId: string, held: readonly HeldAdapter[], slotCount: number, getDemand: (adapter: HeldAdapter) => number): AdapterSlotChoice {
		if (held.length < slotCount) {
			return {kind: 'free'};
		}

		const inUse = this.getAdaptersInUse(targetId);
		const loaded = this.loadedAtMs.get(targetId);
		const maxLoadedAtMs = this.clock.now() - MIN_ADAPTER_AGE_MS;
		const idle = held.filter(adapter => !inUse.has(getKey(adapter)) && (loaded?.get(getKey(adapter)) ?? Number.NEGATIVE_INFINITY) <= maxLoadedAtMs);
		const [evicted] = idle.toSorted((a, b) => getDemand(a) - getDemand(b));
		return evicted ? {kind: 'evict', evicted} : {kind: 'full'};
	}

	private getAdaptersInUse(targetId: string): ReadonlySet<string> {
		const minReceivedAtMs = this.clock.now() - ADAPTER_USE_TTL_MS;
		const inUse = new Set<string>();
		for (const report of this.uses.values()) {
			if (report.receivedAtMs >= minReceivedAtMs) {
				report.byTarget ??= groupBy(report.uses, ([id]) => id);
				for (const [, model, adapter] of report.byTarget.get(targetId) ?? []) {
					inUse.add(getKey({model, adapter}));
				}
			}
		}

		return inUse;
	}
}
