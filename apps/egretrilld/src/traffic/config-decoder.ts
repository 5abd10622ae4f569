import type {Fault, TrafficConfig} from '@egretrill/common';
import type {Result} from 'true-myth';

/** Reads traffic configurations in the format of a deployment. */
export abstract class ConfigDecoder {
	/** Checks and translates a configuration, or names its faults. */
	abstract decode(source: string): Result<TrafficConfig, readonly Fault[]>;
}
