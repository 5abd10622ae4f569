import type {EngineClass} from '@egretrill/common';
import type {LoadMove} from './types.js';

/** Where the weights of a load come from. */
export type LoadSource = 'memory' | 'disk' | 'store';

/** Receives what the plans of loads do. */
export abstract class LoadObserver {
	abstract recordLoad(source: LoadSource, reason: LoadMove['reason']): void;
	/** How long callers waited for a model without a copy. */
	abstract recordMissing(missingMs: number): void;
	/** Number of moves that a plan left out since they undo recent ones. */
	abstract recordHeldBack(count: number): void;
}

/** Where the weights of a planned load come from. */
export function getLoadSource({load, loadMs, fromStore}: LoadMove, {models}: EngineClass): LoadSource {
	if (fromStore) {
		return 'store';
	}

	return models.find(({name}) => name === load)?.memoryLoadMs === loadMs ? 'memory' : 'disk';
}
