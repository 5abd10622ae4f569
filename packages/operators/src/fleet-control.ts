import type {ZoneState} from '@egretrill/common';
import type {
	ApplyOutcome, ConfigChange, ConfigInForce, DrainOutcome, FleetStatus, OperatorName, PlacementExplanation, TargetStatus, WithdrawalOutcome, ZoneStateOutcome,
} from './types.js';

/** A change to one thing, with who asked for it and the id that recognises a resend. */
export type ControlRequest = {readonly id: string; readonly author: OperatorName; readonly requestId: string};

/** What operators can see and change; methods report failures as outcomes, and one that throws counts as an unknown effect. */
export abstract class FleetControl {
	/** The configuration in force as this host knows it, or undefined before the first one. */
	abstract getConfig(): Promise<ConfigInForce | undefined>;
	/** Applies a document in full or not at all. */
	abstract apply(change: ConfigChange): Promise<ApplyOutcome>;
	/** Withdraws a key; repeating it is harmless. */
	abstract withdrawKey(req: ControlRequest): Promise<WithdrawalOutcome>;
	abstract getWithdrawal(keyId: string): Promise<WithdrawalOutcome>;
	abstract setZoneState(req: ControlRequest, state: ZoneState): Promise<ZoneStateOutcome>;
	abstract drainHost(req: ControlRequest): Promise<DrainOutcome>;
	abstract getStatus(): Promise<FleetStatus>;
	abstract getTargets(): Promise<readonly TargetStatus[]>;
	/** Explains the placement of a model, or returns undefined for an unknown one. */
	abstract explainPlacement(model: string): Promise<PlacementExplanation | undefined>;
}
