import type {Registration} from '@egretrill/common';
import type {EngineReport, LoadOrderOutcome, LoadOrder} from './types.js';

/** Where an order goes; an engine that started since refuses it. */
export type EngineAddress = Pick<Registration, 'targetId' | 'address'>;

/** Brings orders to engines. */
export abstract class EngineOrders {
	/** Makes one attempt; `mayWrite` is asked immediately before the write. */
	abstract send(engine: EngineAddress, order: LoadOrder, mayWrite: () => boolean): Promise<LoadOrderOutcome>;
	/** Asks an engine for its state; undefined when it does not answer. */
	abstract getReport(engine: EngineAddress): Promise<EngineReport | undefined>;
}
