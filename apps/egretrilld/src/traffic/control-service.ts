import type {Fault, Registration} from '@egretrill/common';

/** What became of a configuration that an operator sent. */
export type PutOutcome =
	| {readonly kind: 'accepted'; readonly version: number}
	| {readonly kind: 'invalid'; readonly faults: readonly Fault[]}
	/** The change may or may not take effect. */
	| {readonly kind: 'unavailable'; readonly reason: string};

/** What targets and operators may ask of a control host. */
export abstract class ControlService {
	/** Takes in a registration; false when a newer one is known. */
	abstract acceptRegistration(registration: Registration): boolean;
	abstract removeTarget(targetId: string): void;
	/** Puts a configuration into force unless a higher version is. */
	abstract putTraffic(source: string): Promise<PutOutcome>;
	/** The configuration in force as its author wrote it; undefined when this host cannot be sure which it is. */
	abstract readTraffic(): Promise<string | undefined>;
	/** Takes a zone's targets out of service or puts them back; false when that is not certain. */
	abstract setZoneService(zone: string, isInService: boolean): Promise<boolean>;
}
