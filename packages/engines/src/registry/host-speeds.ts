import type {Clock} from '@egretrill/common';
import {
	CURRENT_SLOWDOWN_MS, INHERITED_SPEED_MS, MAX_SLOWDOWN, MAX_TARGETS, MAX_UNREPORTED_PAIRS, MEAN_SLOWDOWN_RATIO, MIN_SLOWDOWN, MIN_STREAM_EVENTS, MIN_STREAM_MS, OWN_SPEED_INTERVAL_MS,
} from './constants.js';
import {ModelPaces} from './model-paces.js';
import {type ProcessSpeed, SpeedMerger, type SpeedObservation} from './speed-merger.js';
import type {KnownSpeeds, SpeedUpdate} from './speed-updates.js';
import {TargetSpeeds} from './target-speeds.js';

/** A stream that a target has sent: the events after its first one, and the time that they took. */
export type ObservedStream = {
	readonly service: string;
	readonly targetId: string;
	readonly startedAtMs: number;
	readonly model: string;
	readonly events: number;
	readonly durationMs: number;
	/** How much longer than usual work took at the target when the stream began. */
	readonly slowdown: number;
};

/** Limits how much longer than usual a target says that work takes there. */
export function clampSlowdown(slowdown: number): number {
	return Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, slowdown));
}

/** Speeds of targets as a host knows them: what it has observed itself, and what the leader has merged from all hosts. Only services whose targets report their current speed are observed. */
export class HostSpeeds extends TargetSpeeds {
	private readonly own: SpeedMerger;
	private readonly paces = new ModelPaces();
	private merged = new Map<string, ProcessSpeed>();
	private known: KnownSpeeds | undefined;
	/** Targets whose speed an earlier leader told and the present one has not confirmed, and when that one first reported. */
	private inherited: {readonly targetIds: Set<string>; readonly sinceMs: number} | undefined;
	/** Mean slowdown by service, over the reports of its targets. */
	private readonly meanSlowdowns = new Map<string, number>();
	/** Observations since the last poll, by service and by target, process and model. */
	private unreported = new Map<string, Map<string, SpeedObservation>>();

	constructor(private readonly clock: Clock) {
		super();
		this.own = new SpeedMerger(clock, OWN_SPEED_INTERVAL_MS);
	}

	/** Records how much longer than usual work takes at a target of the service. */
	recordSlowdown(service: string, slowdown: number): void {
		const mean = this.meanSlowdowns.get(service) ?? 1;
		this.meanSlowdowns.set(service, mean + ((slowdown - mean) * MEAN_SLOWDOWN_RATIO));
	}

	/** Whether targets of the service report their current speed. */
	isActive(service: string): boolean {
		return this.meanSlowdowns.has(service);
	}

	/** Whether targets of any service report their current speed. */
	isAnyActive(): boolean {
		return this.meanSlowdowns.size > 0;
	}

	recordStream(stream: ObservedStream): void {
		const meanSlowdown = this.meanSlowdowns.get(stream.service);
		const {events, durationMs} = stream;
		if (meanSlowdown === undefined || events < MIN_STREAM_EVENTS || durationMs < MIN_STREAM_MS) {
			return;
		}

		const currentRatio = Math.min(1, CURRENT_SLOWDOWN_MS / durationMs);
		const expectedSlowdown = (currentRatio * stream.slowdown) + ((1 - currentRatio) * meanSlowdown);
		const {service, targetId, startedAtMs, model} = stream;
		const observation = {
			targetId, startedAtMs, model, count: 1, logSum: Math.log(durationMs / events / expectedSlowdown),
		};
		this.own.record(service, [observation]);
		this.paces.record(service, model, observation.logSum + Math.log(this.getSpeed(targetId, startedAtMs) ?? 1));
		this.addUnreported(service, observation);
	}

	/** Returns and resets the observations since the last call. */
	collect(): ReadonlyArray<readonly [service: string, observations: readonly SpeedObservation[]]> {
		const collected = [...this.unreported].map(([service, observations]) => [service, [...observations.values()]] as const);
		this.unreported = new Map();
		return collected;
	}

	getKnown(): KnownSpeeds | undefined {
		return this.known;
	}

	/** Applies the leader's speeds; those of an earlier leader stay for a while until this one has measured the target. */
	apply({origin, revision, changed}: SpeedUpdate): void {
		if (this.known && this.known.origin !== origin) {
			this.inherited = {targetIds: new Set(this.merged.keys()), sinceMs: this.clock.now()};
		}

		this.known = {origin, revision};
		for (const speed of changed) {
			this.inherited?.targetIds.delete(speed.targetId);
			// Speeds are kept in the order of their last change.
			this.merged.delete(speed.targetId);
			this.merged.set(speed.targetId, speed);
		}

		if (this.merged.size > MAX_TARGETS) {
			this.merged = new Map([...this.merged].slice(-MAX_TARGETS));
		}
	}

	/** Records a plan of the leader, which may have told no speeds; those of an earlier leader expire if this one has not confirmed them in time. */
	recordPlan(): void {
		if (!this.inherited || this.clock.now() - this.inherited.sinceMs < INHERITED_SPEED_MS) {
			return;
		}

		for (const targetId of this.inherited.targetIds) {
			this.merged.delete(targetId);
		}

		this.inherited = undefined;
	}

	override getSpeed(targetId: string, startedAtMs: number): number | undefined {
		const merged = this.merged.get(targetId);
		if (merged?.startedAtMs === startedAtMs) {
			return merged.speed > 0 ? merged.speed : undefined;
		}

		return this.own.getSpeed(targetId, startedAtMs);
	}

	/** Milliseconds per event of a model at a target of mean speed; undefined before the first stream of the service. */
	getPaceMs(service: string, model: string): number | undefined {
		return this.paces.getPaceMs(service, model);
	}

	/** Speeds of the targets that the leader knows. */
	listMerged(): readonly number[] {
		return [...this.merged.values()].filter(({speed}) => speed > 0).map(({speed}) => speed);
	}

	private addUnreported(service: string, observation: SpeedObservation): void {
		const observations = this.unreported.get(service) ?? new Map<string, SpeedObservation>();
		this.unreported.set(service, observations);
		const key = JSON.stringify([observation.targetId, observation.startedAtMs, observation.model]);
		const {count = 0, logSum = 0} = observations.get(key) ?? {};
		if (count > 0 || observations.size < MAX_UNREPORTED_PAIRS) {
			observations.set(key, {...observation, count: count + 1, logSum: logSum + observation.logSum});
		}
	}
}
