import type {Fault, TrafficConfig} from '@egretrill/common';
import type {Result} from 'true-myth';

/** Decodes traffic configurations from the format of a deployment. */
export abstract class ConfigDecoder {
	/** Validates and decodes a configuration; returns its faults if it is invalid. */
	abstract decode(source: string): Result<TrafficConfig, readonly Fault[]>;
}
