import type {Order} from '@egretrill/common';
import type {TargetReport} from '../../src/placement/index.js';

/** Sizes of the models that the histories place, in MB. */
export const SIZES_MB: Readonly<Record<string, number>> = {
	a: 30, b: 40, c: 50, d: 20,
};

export const ADAPTER_MB = 10;

export const MEMORY_MB = 100;

/** Builds a model of the configuration. */
export function createModel(id: string, memoryMb = SIZES_MB[id] ?? 0, version = 'v1') {
	return {
		id, version, memoryMb, kvReserveMb: 0, minCopies: 1, adapters: [],
	};
}

function getKey(order: Exclude<Order, {kind: 'set-role'}>): string {
	return `${order.model}@${order.version}${'adapter' in order ? `/${order.adapter}` : ''}`;
}

/** A stand-in engine's own books: memory is taken when a load begins, and listed when it ends. */
export class SimulatedEngine {
	startId = 's1';
	role: TargetReport['role'] = 'mixed';
	peakMb = 0;
	/** Every order that arrived, repeated ones included. */
	readonly arrivals: string[] = [];
	private contents: Map<string, {readonly listedAtMs: number}>;
	private receivedOrderIds: string[] = [];
	private completed: Array<{readonly orderId: string; readonly atMs: number}> = [];

	constructor(private readonly reportsOrders: boolean, private readonly targetId = 't1', residents: readonly string[] = []) {
		this.contents = new Map(residents.map(key => [key, {listedAtMs: 0}]));
	}

	/** Carries out an order unless this start has already seen it. */
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
			this.contents.set(key, {listedAtMs: this.contents.get(key)?.listedAtMs ?? nowMs + loadMs});
			this.completed.push({orderId: order.orderId, atMs: nowMs + loadMs});
		} else {
			this.contents.delete(key);
			this.completed.push({orderId: order.orderId, atMs: nowMs});
		}

		this.peakMb = Math.max(this.peakMb, [...this.contents.keys()].reduce((sum, key) => sum + (key.includes('/') ? ADAPTER_MB : (SIZES_MB[key.split('@')[0]!] ?? 0)), 0));
	}

	/** Starts anew with some of the listed contents and no memory of earlier orders. */
	restart(nowMs: number, isKept: () => boolean): void {
		this.startId = `s${Number(this.startId.slice(1)) + 1}`;
		this.contents = new Map([...this.contents].filter(([, {listedAtMs}]) => listedAtMs <= nowMs && isKept()));
		this.receivedOrderIds = [];
		this.completed = [];
	}

	report(nowMs: number): TargetReport {
		const listed = [...this.contents].filter(([, {listedAtMs}]) => listedAtMs <= nowMs).map(([key]) => key);
		return {
			targetId: this.targetId,
			startId: this.startId,
			memoryMb: MEMORY_MB,
			role: this.role,
			resident: listed.filter(key => !key.includes('/')).map(key => ({
				model: key.split('@')[0]!, version: key.split('@')[1]!, adapters: listed.filter(other => other.startsWith(`${key}/`)).map(other => other.split('/')[1]!),
			})),
			settledOrders: this.reportsOrders ? this.completed.filter(({atMs}) => atMs <= nowMs).map(({orderId}) => orderId).slice(-64) : [],
		};
	}
}
