import type {Order} from '@egretrill/common';
import type {EngineOptions} from './types.js';

type ResidentModel = {readonly model: string; readonly version: string; readonly adapters: readonly string[]};

/** Models, adapters and orders of a stand-in engine, which tests compare with what the hosts report. */
export class EngineState {
	residents: readonly ResidentModel[];
	role: 'prefill' | 'decode' | 'mixed' = 'mixed';
	highestFencingToken = 0;
	settledOrders: readonly string[] = [];
	peakMemoryMb = 0;

	constructor(private readonly opts: EngineOptions) {
		this.residents = opts.resident;
		this.updatePeakMemory();
	}

	getMemoryMb(): number {
		return this.residents.reduce((sum, resident) => sum + this.getSizeMb(resident.model) + resident.adapters.reduce((adapters, id) => adapters + this.getSizeMb(id), 0), 0);
	}

	/** Returns the memory that an order needs in addition to what is resident. */
	getAddedMb(order: Order): number {
		if (this.settledOrders.includes(order.orderId)) {
			return 0;
		}

		const hasVersion = order.kind === 'load-model' && this.residents.some(({model, version}) => model === order.model && version === order.version);
		const hasAdapter = order.kind === 'load-adapter' && this.hasModel(order.model, order.adapter);
		return order.kind === 'load-model' && !hasVersion
			? this.getSizeMb(order.model)
			: (order.kind === 'load-adapter' && !hasAdapter ? this.getSizeMb(order.adapter) : 0);
	}

	hasModel(model: string, adapter?: string): boolean {
		return this.residents.some(resident => resident.model === model && (adapter === undefined || resident.adapters.includes(adapter)));
	}

	/** Records the fencing token of an order; returns false if the order is refused because its token is older than the highest one. */
	acceptFencing(order: Order): boolean {
		if (!this.opts.honoursFencing) {
			return true;
		}

		if (order.fencing < this.highestFencingToken) {
			return false;
		}

		this.highestFencingToken = order.fencing;
		return true;
	}

	/** Applies an order once; a repeated order changes nothing. */
	apply(order: Order): void {
		if (this.settledOrders.includes(order.orderId)) {
			return;
		}

		this.residents = this.getResidentsAfterOrder(order);
		if (order.kind === 'set-role') {
			this.role = order.role;
		}

		this.settledOrders = [...this.settledOrders.slice(-63), order.orderId];
		this.updatePeakMemory();
	}

	private getResidentsAfterOrder(order: Order): readonly ResidentModel[] {
		switch (order.kind) {
			case 'load-model': {
				const others = this.residents.filter(resident => resident.model !== order.model || resident.version !== order.version);
				return [...others, {model: order.model, version: order.version, adapters: []}];
			}

			case 'unload-model': {
				return this.residents.filter(resident => resident.model !== order.model || resident.version !== order.version);
			}

			case 'load-adapter': {
				return this.residents.map(resident => resident.model === order.model ? {...resident, adapters: [...new Set([...resident.adapters, order.adapter])]} : resident);
			}

			case 'unload-adapter': {
				return this.residents.map(resident => resident.model === order.model ? {...resident, adapters: resident.adapters.filter(id => id !== order.adapter)} : resident);
			}

			case 'set-role': {
				return this.residents;
			}
		}
	}

	private getSizeMb(id: string): number {
		return this.opts.sizesMb[id] ?? 0;
	}

	private updatePeakMemory(): void {
		this.peakMemoryMb = Math.max(this.peakMemoryMb, this.getMemoryMb());
	}
}
