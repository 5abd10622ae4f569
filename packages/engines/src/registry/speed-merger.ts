import type {Clock} from '@egretrill/common';
import {
	MAX_SPEED_MODELS, MAX_TARGETS, MIN_SPEED_SPREAD, MIN_SPEED_STREAMS, MIN_STILL_SPREAD, SPEED_STREAM_LIMIT, SPEED_UPDATE_INTERVAL_MS, STREAM_NOISE,
} from './constants.js';
import {getSpread, type PairPace, separateSpeeds} from './separate-speeds.js';
import {TargetSpeeds} from './target-speeds.js';

/** Streams of a model at a target's process: their number, and the sum of the logarithms of their milliseconds per event. */
export type SpeedObservation = {readonly targetId: string; readonly startedAtMs: number; readonly model: string; readonly count: number; readonly logSum: number};

/** Speed of a target's process. */
export type ProcessSpeed = {readonly targetId: string; readonly startedAtMs: number; readonly speed: number};

type ObservedTarget = {readonly startedAtMs: number; readonly models: Map<string, {readonly weight: number; readonly logPace: number}>};
type ServiceSpeeds = {readonly targets: Map<string, ObservedTarget>; spread: number; differs: boolean; isChanged: boolean; mergedMs: number; provenIds: readonly string[]};

/** Merges observations of streams into the speeds of targets: at a host its own ones, at the leader those of all hosts. */
export class SpeedMerger extends TargetSpeeds {
	private readonly services = new Map<string, ServiceSpeeds>();
	private readonly speeds = new Map<string, ProcessSpeed>();
	private mergeCount = 0;

	constructor(private readonly clock: Clock, private readonly intervalMs = SPEED_UPDATE_INTERVAL_MS) {
		super();
	}

	record(service: string, observations: readonly SpeedObservation[]): void {
		let known = this.services.get(service);
		if (!known) {
			known = {
				targets: new Map(), spread: 0, differs: false, isChanged: true, mergedMs: Number.NEGATIVE_INFINITY, provenIds: [],
			};
			this.services.set(service, known);
		}

		for (const observation of observations) {
			known.isChanged = addObservation(known.targets, observation) || known.isChanged;
		}
	}

	override getSpeed(targetId: string, startedAtMs: number): number | undefined {
		this.merge();
		const known = this.speeds.get(targetId);
		return known?.startedAtMs === startedAtMs ? known.speed : undefined;
	}

	/** Changes whenever the speeds may have changed. */
	getVersion(): number {
		this.merge();
		return this.mergeCount;
	}

	/** The speeds of all targets of services whose targets differ. */
	list(): readonly ProcessSpeed[] {
		this.merge();
		return [...this.speeds.values()];
	}

	/** Spread of the speeds in each service, and whether it is large enough to count. */
	listSpreads(): ReadonlyArray<{readonly service: string; readonly spread: number; readonly differs: boolean; readonly targetCount: number}> {
		this.merge();
		return [...this.services].map(([service, {spread, differs, targets}]) => ({
			service, spread, differs, targetCount: targets.size,
		}));
	}

	/** Merges what has been observed since; at most once per interval, since a pass reads all targets. */
	private merge(): void {
		const nowMs = this.clock.now();
		for (const service of this.services.values()) {
			if (service.isChanged && nowMs - service.mergedMs >= this.intervalMs) {
				service.isChanged = false;
				service.mergedMs = nowMs;
				this.mergeCount += 1;
				this.mergeService(service);
			}
		}
	}

	private mergeService(service: ServiceSpeeds): void {
		const {speeds} = separateSpeeds(listPairs(service.targets));
		const proven = [...speeds].filter(([, {weight}]) => weight >= MIN_SPEED_STREAMS);
		service.spread = getSpread(proven.map(([, speed]) => speed), STREAM_NOISE);
		service.differs = service.spread >= (service.differs ? MIN_STILL_SPREAD : MIN_SPEED_SPREAD);
		for (const targetId of service.provenIds) {
			this.speeds.delete(targetId);
		}

		service.provenIds = proven.map(([targetId]) => targetId);

		for (const [targetId, {speed}] of service.differs ? proven : []) {
			this.speeds.set(targetId, {targetId, startedAtMs: service.targets.get(targetId)!.startedAtMs, speed});
		}
	}
}

function listPairs(targets: ReadonlyMap<string, ObservedTarget>): readonly PairPace[] {
	return [...targets].flatMap(([targetId, {models}]) => [...models].map(([model, pace]) => ({targetId, model, ...pace})));
}

function deleteOldest(map: Map<string, unknown>, maxSize: number): void {
	const [oldest] = map.keys();
	if (map.size > maxSize && oldest !== undefined) {
		map.delete(oldest);
	}
}

/** Adds an observation; those of an earlier process of the target are ignored, and a later process starts anew. */
function addObservation(targets: Map<string, ObservedTarget>, {targetId, startedAtMs, model, count, logSum}: SpeedObservation): boolean {
	const known = targets.get(targetId);
	if (count <= 0 || (known && known.startedAtMs > startedAtMs)) {
		return false;
	}

	const target: ObservedTarget = known?.startedAtMs === startedAtMs ? known : {startedAtMs, models: new Map()};
	// Targets and their models are kept in the order of their last observation.
	targets.delete(targetId);
	targets.set(targetId, target);
	deleteOldest(targets, MAX_TARGETS);
	const {weight = 0, logPace = 0} = target.models.get(model) ?? {};
	const logMean = ((weight * logPace) + logSum) / (weight + count);
	target.models.delete(model);
	target.models.set(model, {weight: Math.min(SPEED_STREAM_LIMIT, weight + count), logPace: logMean});
	deleteOldest(target.models, MAX_SPEED_MODELS);
	return true;
}
