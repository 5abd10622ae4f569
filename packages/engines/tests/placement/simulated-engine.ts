import type {Order} from '@egretrill/common';
import type {TargetReport} from '../../src/placement/index.js';

/** Sizes of the models that the tests place, in MB. */
export const SIZES_MB: Readonly<Record<string, number>> = {
	a: 30, b: 40, c: 50, d: 20,
};

export const ADAPTER_MB = 10;

export const MEMORY_MB = 100;

/** Creates a model of the configuration. */
export function createModel(id: string, memoryMb = SIZES_MB[id] ?? 0, version = 'v1') {
	return {
		id, version, memoryMb, kvReserveMb: 0, minCopies: 1, adapters: [],
	};
}

function getKey(order: Exclude<Order, {kind: 'set-role'}>): string {
	return `${order.model}@${order.version}${'adapter' in order ? `/${order.adapter}` : ''}`;
}

/** Simulates the memory of an engine: a load uses memory from its start and is reported as resident from its end. */
export class SimulatedEngine {
	startId = 's1';
	role: TargetReport['role'] = 'mixed';
	peakMb = 0;
	/** Every order that arrived, repeated ones included. */
	readonly arrivals: string[] = [];
	private contents: Map<string, {readonly reportedFromMs: number}>;
	private receivedOrderIds: string[] = [];
	private completed: Array<{readonly orderId: string; readonly atMs: number}> = [];

	constructor(private readonly reportsSettledOrders: boolean, private readonly targetId = 't1', residents: readonly string[] = []) {
		this.contents = new Map(residents.map(key => [key, {reportedFromMs: 0}]));
	}

	/** Executes an order unless this start of the engine has already received it. */
	receive(order: Order, nowMs: number, loadMs: number): void {
		this.arrivals.push(`${nowMs} ms: ${order.orderId} ${order.kind} ${'model' in order ? getKey(order) : order.role}`);
		if (this.receivedOrderIds.includes(order.orderId)) {
			return;
		}

		if (!('model' in order)) {
			this.role = order.role;
			this.receivedOrderIds.push(order.orderId);
			this.completed.push({orderId: order.orderId, atMs: nowMs});
			return;
		}

		const key = getKey(order);
		this.receivedOrderIds.push(order.orderId);
		if (order.kind === 'load-adapter' && !this.contents.has(`${order.model}@${order.version}`)) {
			return;
		}

		if (order.kind === 'load-model' || order.kind === 'load-adapter') {
			this.contents.set(key, {reportedFromMs: this.contents.get(key)?.reportedFromMs ?? nowMs + loadMs});
			this.completed.push({orderId: order.orderId, atMs: nowMs + loadMs});
		} else {
			this.contents.delete(key);
			this.completed.push({orderId: order.orderId, atMs: nowMs});
		}

		this.peakMb = Math.max(this.peakMb, [...this.contents.keys()].reduce((sum, key) => sum + (key.includes('/') ? ADAPTER_MB : (SIZES_MB[key.split('@')[0]!] ?? 0)), 0));
	}

	/** Restarts with some of the reported contents and without a record of earlier orders. */
	restart(nowMs: number, isKept: () => boolean): void {
		this.startId = `s${Number(this.startId.slice(1)) + 1}`;
		this.contents = new Map([...this.contents].filter(([, {reportedFromMs}]) => reportedFromMs <= nowMs && isKept()));
		this.receivedOrderIds = [];
		this.completed = [];
	}

	report(nowMs: number): TargetReport {
		const reported = [...this.contents].filter(([, {reportedFromMs}]) => reportedFromMs <= nowMs).map(([key]) => key);
		return {
			targetId: this.targetId,
			startId: this.startId,
			memoryMb: MEMORY_MB,
			role: this.role,
			resident: reported.filter(key => !key.includes('/')).map(key => ({
				model: key.split('@')[0]!, version: key.split('@')[1]!, adapters: reported.filter(other => other.startsWith(`${key}/`)).map(other => other.split('/')[1]!),
			})),
			settledOrders: this.reportsSettledOrders ? this.completed.filter(({atMs}) => atMs <= nowMs).map(({orderId}) => orderId).slice(-64) : [],
		};
	}
}
