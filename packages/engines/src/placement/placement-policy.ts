import type {PlanInput, PlanRound} from './types.js';

/** Decides which moves of models, adapters and roles to order next. */
export abstract class PlacementPolicy {
	abstract get name(): string;
	/** Plans one round from plain data; nothing is ordered here. */
	abstract planRound(input: PlanInput): PlanRound;
}
