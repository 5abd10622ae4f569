import type {Fault, Registration} from '@egretrill/common';

/** Outcome of a configuration change by an operator. */
export type PutOutcome =
	| {readonly kind: 'accepted'; readonly version: number}
	| {readonly kind: 'invalid'; readonly faults: readonly Fault[]}
	/** The change may or may not take effect. */
	| {readonly kind: 'unavailable'; readonly reason: string};

/** Operations that a control host serves to targets and operators. */
export abstract class ControlService {
	/** Accepts a registration; returns false if it must not be acknowledged, since the target says that it leaves and is used on. */
	abstract acceptRegistration(registration: Registration): boolean;
	/** Records a registration that describes no usable target, with its faults. */
	abstract recordInvalidRegistration(targetId: string, faults: readonly string[]): void;
	/** Records a call that could not be read or answered. */
	abstract recordFailedCall(err: Error): void;
	/** Removes a target that has left; resolves once the other control hosts that answer in time know it. The signal aborts when the caller ends. */
	abstract removeTarget(targetId: string, signal: AbortSignal): Promise<void>;
	/** Puts a configuration into force unless a higher version is in force. */
	abstract putTraffic(source: string): Promise<PutOutcome>;
	/** The source text of the configuration in force; undefined if this host cannot confirm that it is the latest. */
	abstract readTraffic(): Promise<string | undefined>;
	/** Takes a zone's targets out of service or returns them to service; returns false if the change is not confirmed. Nothing is sent once the signal of the caller's end aborts. */
	abstract setZoneService(zone: string, isInService: boolean, signal: AbortSignal): Promise<boolean>;
}
