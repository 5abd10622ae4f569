import {
	DutyLog, type EngineOrder, type RecordedOrder, type SettledUsage, type UsageWindow,
} from '../../src/index.js';

/** A log of the duties that outlasts its leaders, and that loses its majority on request. */
export class MemoryDutyLog extends DutyLog {
	hasMajority = true;
	/** Whether an entry is applied although its proposer does not learn of it. */
	losesAnswers = false;
	private usage: SettledUsage = {settledThrough: -1, unconfirmed: []};
	private orders: RecordedOrder[] = [];

	override getUsage(): SettledUsage {
		return this.usage;
	}

	override async settle(windows: readonly UsageWindow[]): Promise<boolean> {
		return this.apply(() => {
			for (const settled of windows.filter(({window}) => window > this.usage.settledThrough)) {
				this.usage = {settledThrough: settled.window, unconfirmed: [...this.usage.unconfirmed, settled]};
			}
		});
	}

	override async confirm(window: number): Promise<boolean> {
		return this.apply(() => {
			this.usage = {...this.usage, unconfirmed: this.usage.unconfirmed.filter(settled => settled.window !== window)};
		});
	}

	override getOrders(): readonly RecordedOrder[] {
		return this.orders;
	}

	override async recordOrder(order: EngineOrder): Promise<boolean> {
		return this.put({...order, isAccepted: false});
	}

	override async acceptOrder(order: EngineOrder): Promise<boolean> {
		return this.put({...order, isAccepted: true});
	}

	private async put(order: RecordedOrder): Promise<boolean> {
		return this.apply(() => {
			this.orders = [...this.orders.filter(({service, zone}) => service !== order.service || zone !== order.zone), order];
		});
	}

	private apply(change: () => void): boolean {
		if (!this.hasMajority) {
			return false;
		}

		change();
		return !this.losesAnswers;
	}
}
