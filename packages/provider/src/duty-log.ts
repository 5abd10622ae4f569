import type {
	EngineOrder, RecordedOrder, SettledUsage, UsageWindow,
} from './types.js';

/** The state of the duties in the replicated log. Entries change it only once a majority has them; the methods resolve with whether that is known. */
export abstract class DutyLog {
	/** Returns the settled windows that this host has applied. */
	abstract getUsage(): SettledUsage;
	/** Settles windows that are not settled yet; the first entry that names a window decides on its counts. */
	abstract settle(windows: readonly UsageWindow[]): Promise<boolean>;
	/** Records that the provider has confirmed a window. */
	abstract confirm(window: number): Promise<boolean>;
	/** Returns the last order for each service and zone. */
	abstract getOrders(): readonly RecordedOrder[];
	abstract recordOrder(order: EngineOrder): Promise<boolean>;
	/** Records that the provider has accepted an order, unless another one has replaced it. */
	abstract acceptOrder(order: EngineOrder): Promise<boolean>;
}
