import type {
	Announcement, Model, Placements, ResidentModel,
} from '@egretrill/common';
import {MEAN_SERVICE_MS} from './constants.js';
import type {MemoryLedger} from './memory-ledger.js';
import type {
	DemandEstimate, Move, PhaseLoad, PlanInput, PlannedTarget, WaitingCount,
} from './types.js';

/** The configuration, demand and remote targets that the owner plans with, as last set by the daemon. */
export type PlacementState = {
	readonly models: readonly Model[];
	readonly placements: Placements;
	readonly demand: readonly DemandEstimate[];
	readonly remoteTargets: readonly PlannedTarget[];
	/** Requests for each model that wait at the hosts of the zone. */
	readonly waiting: readonly WaitingCount[];
	readonly loadSlots: number;
	readonly phase?: PhaseLoad;
};

/** State of the zone owner from which the input of a round is built. */
export type PlanningView = PlacementState & {
	readonly nowMs: number;
	readonly zone: string;
	readonly announcements: readonly Announcement[];
	readonly ledger: MemoryLedger;
	readonly moving: ReadonlyMap<string, Move>;
	/** Time at which each copy or role was first seen; `buildPlanInput` removes the entries of copies and roles that no longer exist. */
	readonly firstSeenMs: Map<string, number>;
	readonly getCapacityPerS?: (target: Announcement) => number;
};

/** Estimated duration of one load at the store's full speed, used to compare moves. */
const LOAD_MS = 4500;

function getCapacityPerS(target: Announcement): number {
	return target.load.limit * 1000 / MEAN_SERVICE_MS;
}

/** Returns the models that a move loads; they count as loading until the move has ended. */
export function listLoadingModels(move: Move | undefined): ResidentModel[] {
	return (move?.steps ?? []).flatMap(step => step.kind === 'load-model' ? [{model: step.model, version: step.version, adapters: []}] : []);
}

function toPlannedTarget(view: PlanningView, target: Announcement): PlannedTarget {
	const {nowMs, firstSeenMs} = view;
	const getAgeMs = (key: string): number => {
		const sinceMs = firstSeenMs.get(key) ?? nowMs;
		firstSeenMs.set(key, sinceMs);
		return nowMs - sinceMs;
	};

	const use = view.ledger.getUse(target.targetId);
	return {
		targetId: target.targetId,
		zone: target.zone,
		orderable: true,
		memoryMb: target.memoryMb,
		freeMb: use?.freeMb ?? 0,
		capacityPerS: (view.getCapacityPerS ?? getCapacityPerS)(target),
		role: target.role,
		roleAgeMs: getAgeMs(`${target.targetId}#${target.role}`),
		busy: view.moving.has(target.targetId) || view.ledger.isSettling(target.targetId),
		leaving: target.leaving,
		copies: target.resident.map(copy => ({...copy, ageMs: getAgeMs(`${target.targetId}/${copy.model}@${copy.version}`), idleMs: 0})),
		loading: listLoadingModels(view.moving.get(target.targetId)),
	};
}

/** Assembles the plain data of one planning round. */
export function buildPlanInput(view: PlanningView): PlanInput {
	const targets = view.announcements.map(target => toPlannedTarget(view, target));
	const seen = new Set(targets.flatMap(target => [`${target.targetId}#${target.role}`, ...target.copies.map(copy => `${target.targetId}/${copy.model}@${copy.version}`)]));
	for (const key of view.firstSeenMs.keys()) {
		if (!seen.has(key)) {
			view.firstSeenMs.delete(key);
		}
	}

	return {
		nowMs: view.nowMs,
		models: [...view.models],
		placements: view.placements,
		demand: [...view.demand],
		targets: [...targets, ...view.remoteTargets.map(target => ({...target, orderable: false}))],
		waiting: [...view.waiting],
		loadSlots: view.loadSlots,
		loadMs: LOAD_MS,
		phase: view.phase,
	};
}

