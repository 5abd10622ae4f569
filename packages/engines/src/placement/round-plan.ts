import type {
	CopyState, Evictions, FleetState, ModelState, TargetState,
} from './fleet-state.js';
import type {
	Explanation, Move, MoveReason, MoveStep, PlanRound,
} from './types.js';

/** Why a load is planned and whether requests need it now. */
export type LoadDetails = {readonly reason: MoveReason; readonly urgent: boolean; readonly weighedAgainst: string};

/** Collects the moves of one round and applies them to the working copy of the fleet. */
export class RoundPlan {
	private readonly moves: Move[] = [];
	private readonly explanations: Explanation[] = [];
	private remainingLoads: number;

	constructor(readonly fleet: FleetState) {
		this.remainingLoads = fleet.input.loadSlots;
	}

	get loadSlots(): number {
		return this.remainingLoads;
	}

	/** Plans a load, preceded by its evictions. */
	addLoad(model: ModelState, target: TargetState, evictions: readonly CopyState[], details: LoadDetails): void {
		const unloads = evictions.map(copy => this.evict(copy));
		this.fleet.addLoading(model, target);
		this.remainingLoads -= 1;
		const {id, version} = model.model;
		this.add({
			targetId: target.planned.targetId, model: id, reason: details.reason, urgent: details.urgent, steps: [...unloads, {kind: 'load-model', model: id, version}],
		}, target, details.weighedAgainst);
	}

	/** Plans an unload that no load requires. */
	addUnload(copy: CopyState, reason: MoveReason, weighedAgainst: string): void {
		const step = this.evict(copy);
		this.add({
			targetId: copy.target.planned.targetId, model: copy.modelId, reason, urgent: false, steps: [step],
		}, copy.target, weighedAgainst);
	}

	/** Adds a move and marks its target as busy. Changes of copies are applied by the caller. */
	add(move: Move, target: TargetState, weighedAgainst: string): void {
		target.isBusy = true;
		this.moves.push(move);
		this.explain({
			model: move.model, targetId: move.targetId, decision: 'move', reason: move.reason, weighedAgainst,
		});
	}

	/** Records the reason of a decision. */
	explain(explanation: Explanation): void {
		this.explanations.push(explanation);
	}

	/** Returns the moves and explanations collected so far. */
	finish(): PlanRound {
		return {moves: this.moves, explanations: this.explanations};
	}

	private evict(copy: CopyState): MoveStep {
		this.fleet.remove(copy);
		return {kind: 'unload-model', model: copy.modelId, version: copy.version};
	}
}

/** Describes evictions for an explanation. */
export function describeEvictions({copies, lossPerS}: Evictions): string {
	return copies.length === 0 ? 'free memory' : `evicting ${copies.map(({modelId, version}) => `${modelId}@${version}`).join(', ')} at a loss of ${lossPerS.toFixed(2)} requests/s`;
}
