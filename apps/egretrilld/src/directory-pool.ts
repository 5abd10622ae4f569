import {
	ChosenTarget, type ConfigSource, type TargetOutcome, TargetPool, type TargetWant,
} from '@egretrill/callers';
import {
	type Clock, type Logger, type Random, refuse, type TargetAddress, type Verdict,
} from '@egretrill/common';
import type {
	Choice, OwnRequest, RoutingPolicy, TargetDirectory, ZoneConditions,
} from '@egretrill/engines';
import {Result} from 'true-myth';
import {POOL_RETRY_MS} from './constants.js';

export type DirectoryPoolOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly hostZone: string;
	readonly directory: TargetDirectory;
	readonly policy: RoutingPolicy;
	readonly config: ConfigSource;
	readonly getZoneConditions: () => ZoneConditions;
};

/** A target of the directory that runs one request. */
class DirectoryTarget extends ChosenTarget {
	override readonly address: TargetAddress;
	private readonly zone: string;

	constructor(private readonly opts: DirectoryPoolOptions, choice: Pick<Choice, 'targetId' | 'startId' | 'address' | 'zone'>, private readonly own: OwnRequest | undefined) {
		super();
		this.zone = choice.zone;
		this.address = {targetId: choice.targetId, startId: choice.startId, address: choice.address};
	}

	override isAvailable(): boolean {
		const entry = this.getEntry();
		return entry !== undefined && !entry.leaving && this.opts.getZoneConditions()[this.zone]?.state !== 'taken-out';
	}

	override isSameStart(): boolean {
		return this.getEntry() !== undefined;
	}

	override release(outcome: TargetOutcome): void {
		const {directory} = this.opts;
		const {targetId, startId} = this.address;
		if (this.own) {
			directory.endRequest(this.own);
		}

		if (outcome === 'unreachable') {
			directory.recordConnectFailure(targetId, startId);
		} else if (outcome === 'completed') {
			directory.recordConnectSuccess(targetId, startId);
		}
	}

	private getEntry() {
		return this.opts.directory.getTargets().find(({entry}) => entry.targetId === this.address.targetId && entry.startId === this.address.startId)?.entry;
	}
}

/** Chooses targets from the directory by the configured policy. */
export class DirectoryPool extends TargetPool {
	constructor(private readonly opts: DirectoryPoolOptions) {
		super();
	}

	override async choose(want: TargetWant, signal: AbortSignal): Promise<Result<ChosenTarget, Verdict>> {
		const {clock, logger} = this.opts;
		const endsMs = clock.now() + want.timeoutMs;
		for (;;) {
			const choice = want.startId === undefined ? this.decide(want) : this.findStart(want.startId);
			if (choice.isOk) {
				logger.info({
					requestId: want.requestId, model: want.model, service: want.service, ...choice.value,
				}, 'Target chosen.');
				const {targetId, startId} = choice.value;
				return Result.ok(new DirectoryTarget(this.opts, choice.value, this.opts.directory.beginRequest(targetId, startId)));
			}

			// A full copy may have room again before the deadline; a refusal then would be wrongful.
			const canWait = choice.error.code === 'copies-busy' && !signal.aborted && clock.now() + POOL_RETRY_MS < endsMs;
			if (!canWait) {
				logger.info({
					requestId: want.requestId, model: want.model, service: want.service, code: choice.error.code,
				}, 'No target chosen.');
				return Result.err(choice.error);
			}

			await clock.sleep(POOL_RETRY_MS, signal);
		}
	}

	private decide(want: TargetWant): Result<Choice, Verdict> {
		const {directory, policy, random, hostZone, config} = this.opts;
		const index = config.getIndex();
		const set = directory.getCandidates({
			...(want.model !== undefined && {model: want.model}),
			...(want.adapter !== undefined && {adapter: want.adapter}),
			...(want.service !== undefined && {service: want.service}),
			zoneStates: this.opts.getZoneConditions(),
			hostZone,
		});
		const known = want.model === undefined ? index?.document.services.some(service => service.id === want.service) : index?.models.has(want.model);
		return policy.choose(set, {
			...(want.model !== undefined && {model: want.model}),
			...(want.adapter !== undefined && {adapter: want.adapter}),
			...(want.service !== undefined && {service: want.service}),
			known: known ?? false,
			prompt: want.prompt,
			excluded: [...want.excluded].map(targetId => ({targetId, reason: 'tried' as const})),
		}, random);
	}

	private findStart(startId: string): Result<Choice, Verdict> {
		const live = this.opts.directory.getTargets().find(({entry}) => entry.startId === startId);
		if (!live) {
			return Result.err(refuse(503, 'target-left', 'The target that began the answer has left.'));
		}

		const {targetId, zone, address} = live.entry;
		return Result.ok({
			targetId, startId, zone, address, needsPermit: false, adapterResident: true, reason: 'resume', considered: 1, scores: [],
		});
	}
}
