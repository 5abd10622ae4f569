import type {Clock} from '@egretrill/common';
import type {AdapterUse} from '../registry/index.js';
import {MIN_ADAPTER_AGE_MS, ADAPTER_USE_TTL_MS} from './constants.js';

/** An adapter that an engine holds. */
export type HeldAdapter = {readonly model: string; readonly adapter: string};

/** Whether an engine has a place for an adapter, or which one can go; `full` while every one is in use. */
export type AdapterSlotChoice = {readonly kind: 'free' | 'full'} | {readonly kind: 'evict'; readonly evicted: HeldAdapter};

function getKey({model, adapter}: HeldAdapter): string {
	return JSON.stringify([model, adapter]);
}

/** Which adapters the requests of one host use. */
type UseReport = {
	readonly uses: readonly AdapterUse[];
	readonly receivedAtMs: number;
	/** The same by target, made when it is first asked for: most reports are replaced before. */
	byTarget?: ReadonlyMap<string, readonly AdapterUse[]>;
};

function groupByTarget(uses: readonly AdapterUse[]): ReadonlyMap<string, readonly AdapterUse[]> {
	const byTarget = new Map<string, AdapterUse[]>();
	for (const use of uses) {
		const [targetId] = use;
		const known = byTarget.get(targetId);
		if (known) {
			known.push(use);
		} else {
			byTarget.set(targetId, [use]);
		}
	}

	return byTarget;
}

/** Decides which adapter makes room for another one. Answers more adapters in demand than an engine has places for. */
export class AdapterSlots {
	private readonly uses = new Map<string, UseReport>();
	/** When adapters were loaded, by engine and adapter. */
	private readonly loadedAtMs = new Map<string, Map<string, number>>();

	constructor(private readonly clock: Clock) {}

	/** Takes over which adapters the requests of one host use. */
	recordUse(hostId: string, uses: readonly AdapterUse[]): void {
		this.uses.set(hostId, {uses, receivedAtMs: this.clock.now()});
	}

	recordLoad(targetId: string, adapter: HeldAdapter): void {
		const loaded = this.loadedAtMs.get(targetId) ?? new Map<string, number>();
		this.loadedAtMs.set(targetId, loaded.set(getKey(adapter), this.clock.now()));
	}

	/** Room for one more adapter. Of those that no request uses the one that is asked for least goes; one just loaded stays for the requests that waited for it. */
	chooseSlot(targetId: string, held: readonly HeldAdapter[], slotCount: number, getDemand: (adapter: HeldAdapter) => number): AdapterSlotChoice {
		if (held.length < slotCount) {
			return {kind: 'free'};
		}

		const inUse = this.getInUse(targetId);
		const loaded = this.loadedAtMs.get(targetId);
		const newestMs = this.clock.now() - MIN_ADAPTER_AGE_MS;
		const idle = held.filter(adapter => !inUse.has(getKey(adapter)) && (loaded?.get(getKey(adapter)) ?? Number.NEGATIVE_INFINITY) <= newestMs);
		const [evicted] = idle.toSorted((a, b) => getDemand(a) - getDemand(b));
		return evicted ? {kind: 'evict', evicted} : {kind: 'full'};
	}

	private getInUse(targetId: string): ReadonlySet<string> {
		const oldestMs = this.clock.now() - ADAPTER_USE_TTL_MS;
		const inUse = new Set<string>();
		for (const report of this.uses.values()) {
			if (report.receivedAtMs >= oldestMs) {
				report.byTarget ??= groupByTarget(report.uses);
				for (const [, model, adapter] of report.byTarget.get(targetId) ?? []) {
					inUse.add(getKey({model, adapter}));
				}
			}
		}

		return inUse;
	}
}
