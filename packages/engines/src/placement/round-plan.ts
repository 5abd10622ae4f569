import type {
	CopyState, Evictions, FleetState, ModelState, TargetState,
} from './fleet-state.js';
import type {
	Explanation, Move, MoveReason, MoveStep, PlanRound,
} from './types.js';

export type LoadCause = {readonly reason: MoveReason; readonly urgent: boolean; readonly weighedAgainst: string};

/** Collects the moves of one round and keeps the fleet's working copy in step with them. */
export class RoundPlan {
	private readonly moves: Move[] = [];
	private readonly explanations: Explanation[] = [];
	private loadsLeft: number;

	constructor(readonly fleet: FleetState) {
		this.loadsLeft = fleet.input.loadSlots;
	}

	get loadSlots(): number {
		return this.loadsLeft;
	}

	/** Plans a load, preceded by its evictions. */
	addLoad(model: ModelState, target: TargetState, evictions: readonly CopyState[], cause: LoadCause): void {
		const unloads = evictions.map(copy => this.evict(copy));
		this.fleet.addLoading(model, target);
		this.loadsLeft -= 1;
		const {id, version} = model.model;
		this.add({
			targetId: target.planned.targetId, model: id, reason: cause.reason, urgent: cause.urgent, steps: [...unloads, {kind: 'load-model', model: id, version}],
		}, target, cause.weighedAgainst);
	}

	/** Plans an unload for its own sake. */
	addUnload(copy: CopyState, reason: MoveReason, weighedAgainst: string): void {
		const step = this.evict(copy);
		this.add({
			targetId: copy.target.planned.targetId, model: copy.modelId, reason, urgent: false, steps: [step],
		}, copy.target, weighedAgainst);
	}

	/** Plans a move that changes no model's copies. */
	add(move: Move, target: TargetState, weighedAgainst: string): void {
		target.isBusy = true;
		this.moves.push(move);
		this.explain({
			model: move.model, targetId: move.targetId, decision: 'move', reason: move.reason, weighedAgainst,
		});
	}

	/** Keeps the reason of a decision. */
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

/** Names evictions in an explanation. */
export function describeEvictions({copies, lossPerS}: Evictions): string {
	return copies.length === 0 ? 'free memory' : `evicting ${copies.map(({modelId, version}) => `${modelId}@${version}`).join(', ')} at a loss of ${lossPerS.toFixed(2)} requests/s`;
}
