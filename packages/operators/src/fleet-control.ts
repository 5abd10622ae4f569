import type {ZoneState} from '@egretrill/common';
import type {
	ApplyOutcome, ConfigChange, ConfigInForce, DrainOutcome, FleetStatus, OperatorName, PlacementExplanation, TargetStatus, WithdrawalOutcome, ZoneStateOutcome,
} from './types.js';

/** Request to change the key, zone or host with this id; a resend is recognised by its request id. */
export type ControlRequest = {readonly id: string; readonly author: OperatorName; readonly requestId: string};

/** What operators can read and change. Methods return failures as outcomes; if one throws, the effect of the change is unknown. */
export abstract class FleetControl {
	/** The latest configuration in force that this host has received, or undefined before the first one. */
	abstract getConfig(): Promise<ConfigInForce | undefined>;
	/** Applies a document atomically. */
	abstract apply(change: ConfigChange): Promise<ApplyOutcome>;
	/** Withdraws a key; idempotent. */
	abstract withdrawKey(req: ControlRequest): Promise<WithdrawalOutcome>;
	abstract getWithdrawal(keyId: string): Promise<WithdrawalOutcome>;
	abstract setZoneState(req: ControlRequest, state: ZoneState): Promise<ZoneStateOutcome>;
	abstract drainHost(req: ControlRequest): Promise<DrainOutcome>;
	abstract getStatus(): Promise<FleetStatus>;
	abstract getTargets(): Promise<readonly TargetStatus[]>;
	/** Explains the placement of a model, or returns undefined for an unknown one. */
	abstract explainPlacement(model: string): Promise<PlacementExplanation | undefined>;
}
