import type {Registration} from '@egretrill/common';
import type {EngineReport, LoadOrder, LoadOrderOutcome} from './types.js';

/** Identity and address of an engine. An engine that has restarted since refuses the order. */
export type EngineAddress = Pick<Registration, 'targetId' | 'address'>;

/** Sends orders to engines. */
export abstract class EngineOrders {
	/** Makes one attempt; `mayWrite` is called immediately before the write. */
	abstract send(engine: EngineAddress, order: LoadOrder, mayWrite: () => boolean): Promise<LoadOrderOutcome>;
	/** Requests the state of an engine; undefined if it does not answer. */
	abstract getReport(engine: EngineAddress): Promise<EngineReport | undefined>;
}
