import {
	ChosenTarget, type ConfigSource, type TargetOutcome, TargetPool, type TargetRequirements,
} from '@egretrill/callers';
import {
	type Clock, type Logger, type Random, refuse, type TargetAddress, type Verdict,
} from '@egretrill/common';
import {
	type Choice, type ColdPermitHolder, type ColdTargetDetector, type DirectoryEntry, type HeldPermit, isConnectionRefused, type OwnRequest, type PrefixCacheEstimate, type RoutingPolicy, type RoutingRequest, type TargetDirectory, type ZoneConditions,
} from '@egretrill/engines';
import {Result} from 'true-myth';
import {POOL_RETRY_MS} from '../constants.js';
import type {AdapterLoader} from './adapter-loader.js';

export type DirectoryPoolOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly hostZone: string;
	readonly directory: TargetDirectory;
	readonly policy: RoutingPolicy;
	readonly permits: ColdPermitHolder;
	readonly collapses: ColdTargetDetector;
	readonly prefixCache?: PrefixCacheEstimate;
	readonly config: ConfigSource;
	readonly getZoneConditions: () => ZoneConditions;
	readonly adapters: AdapterLoader;
};

type Excluded = RoutingRequest['excluded'][number];

/** Codes of refusals whose cause may pass before the request's deadline, so that the choice is retried. */
const transientCodes: ReadonlySet<string> = new Set(['copies-busy', 'no-target', 'cold-target', 'permit-unavailable']);

/** A chosen target with what must be released when the request ends. */
type TargetReservation = {
	readonly choice: Choice;
	readonly ownRequest: OwnRequest | undefined;
	readonly permit?: HeldPermit;
	readonly requirements: TargetRequirements;
};

/** A target of the directory, reserved for one request. */
class DirectoryTarget extends ChosenTarget {
	override readonly address: TargetAddress;
	override readonly hasPermit: boolean;

	constructor(private readonly opts: DirectoryPoolOptions, private readonly reservation: TargetReservation) {
		super();
		const {targetId, startId, address} = reservation.choice;
		this.address = {targetId, startId, address};
		this.hasPermit = reservation.permit !== undefined;
	}

	override isAvailable(): boolean {
		const entry = this.opts.directory.getEntry(this.reservation.choice.targetId, this.reservation.choice.startId);
		const isZoneInService = this.opts.getZoneConditions()[this.reservation.choice.zone]?.state !== 'taken-out';
		return entry !== undefined && !entry.leaving && isZoneInService && this.canWrite(entry);
	}

	override isProcessAnnounced(): boolean {
		return this.opts.directory.getEntry(this.reservation.choice.targetId, this.reservation.choice.startId) !== undefined;
	}

	override async hasEnded(): Promise<boolean> {
		return !this.isProcessAnnounced() || isConnectionRefused(this.address.address);
	}

	override recordFirstToken(elapsedMs: number): void {
		this.recordLatency(elapsedMs);
	}

	override release(outcome: TargetOutcome): void {
		const {directory, permits} = this.opts;
		const {targetId, startId} = this.address;
		if (this.reservation.ownRequest) {
			directory.endRequest(this.reservation.ownRequest);
		}

		if (this.reservation.permit) {
			void permits.release(this.reservation.permit, outcome === 'unreachable' ? 'failed' : outcome);
		}

		switch (outcome) {
			case 'unreachable': {
				directory.recordConnectFailure(targetId, startId);

				break;
			}

			case 'completed': {
				directory.recordConnectSuccess(targetId, startId);
				this.recordPrefix();

				break;
			}

			case 'failed': {
				this.recordLatency('failed');

				break;
			}
		// No default
		}
	}

	/** A target may have turned cold since it was chosen; a request to a cold target needs a permit. */
	private canWrite({kind, warmth}: DirectoryEntry): boolean {
		const {permit} = this.reservation;
		return permit ? this.opts.permits.canWrite(permit) : kind !== 'engine' || warmth.warm;
	}

	/** Records the prompt's prefix as cached on the engine before a cache event confirms it. */
	private recordPrefix(): void {
		const {prefixCache} = this.opts;
		if (prefixCache && this.reservation.requirements?.model !== undefined) {
			prefixCache.recordCompleted(
				this.reservation.choice.targetId,
				this.reservation.choice.startId,
				prefixCache.getBlocks(this.reservation.requirements.model, this.reservation.requirements.adapter, this.reservation.requirements.prompt),
			);
		}
	}

	private recordLatency(latency: number | 'failed'): void {
		const {targetId, startId} = this.address;
		if (this.reservation.requirements?.kind === 'engine' && this.opts.collapses.record(targetId, startId, latency)) {
			this.opts.logger.warn({targetId, startId}, 'A warm target answers like a cold one.');
			void this.opts.permits.reportCold(this.reservation.choice.zone, {targetId, startId});
		}
	}
}

/** Chooses targets from the directory with the configured routing policy. */
export class DirectoryPool extends TargetPool {
	private readonly choosingCounts = new Map<string, number>();

	constructor(private readonly opts: DirectoryPoolOptions) {
		super();
	}

	override getFreeSlots(model: string): number {
		const {directory, hostZone} = this.opts;
		const freeSlots = directory.getFreeSlots({model, hostZone, zoneStates: this.opts.getZoneConditions()});
		// The directory learns of a request only when its target is chosen, which may take a permit or the load of an adapter.
		return Math.max(0, freeSlots - (this.choosingCounts.get(model) ?? 0));
	}

	/** Requests that have left their queue and wait for a target, by model. */
	getWaitingByModel(): ReadonlyMap<string, number> {
		return this.choosingCounts;
	}

	override async choose(requirements: TargetRequirements, signal: AbortSignal): Promise<Result<ChosenTarget, Verdict>> {
		const {model = ''} = requirements;
		this.countChoosing(model, 1);
		try {
			return await this.chooseWithinTimeout(requirements, signal);
		} finally {
			this.countChoosing(model, -1);
		}
	}

	private countChoosing(model: string, change: number): void {
		const count = (this.choosingCounts.get(model) ?? 0) + change;
		if (count === 0) {
			this.choosingCounts.delete(model);
		} else {
			this.choosingCounts.set(model, count);
		}
	}

	private async chooseWithinTimeout(requirements: TargetRequirements, signal: AbortSignal): Promise<Result<ChosenTarget, Verdict>> {
		const {clock, logger} = this.opts;
		const deadlineMs = clock.now() + requirements.timeoutMs;
		for (;;) {
			const chosen = requirements.startId === undefined ? await this.chooseOnce(requirements) : this.chooseByStartId(requirements);
			if (chosen.isOk) {
				return chosen;
			}

			// A request that has already failed on every copy is refused at once; any other may wait for a copy.
			const isTransient = transientCodes.has(chosen.error.code) && (chosen.error.code !== 'no-target' || requirements.excluded.size === 0);
			const canRetry = isTransient && !signal.aborted && clock.now() + POOL_RETRY_MS < deadlineMs;
			if (!canRetry) {
				logger.info({
					requestId: requirements.requestId, model: requirements.model, service: requirements.service, code: chosen.error.code,
				}, 'No target chosen.');
				return Result.err(chosen.error);
			}

			await clock.sleep(POOL_RETRY_MS, signal);
		}
	}

	/** Tries the candidates in the order of the policy; skips those that grant no permit or cannot load the adapter. */
	private async chooseOnce(requirements: TargetRequirements): Promise<Result<ChosenTarget, Verdict>> {
		let excluded: readonly Excluded[] = [...requirements.excluded].map(targetId => ({targetId, reason: 'tried'}));
		for (;;) {
			const choice = this.applyPolicy(requirements, excluded);
			if (choice.isErr) {
				return Result.err(choice.error);
			}

			// A missing adapter is loaded before the request is sent, since the engine would refuse the request.
			const isLoaded = choice.value.adapterResident || await this.opts.adapters.load(choice.value, requirements);
			if (!isLoaded) {
				excluded = [...excluded, {targetId: choice.value.targetId, reason: 'permit-denied'}];
				continue;
			}

			const permit = choice.value.needsPermit ? await this.opts.permits.acquire(choice.value) : undefined;
			if (!permit?.isErr) {
				this.logChoice(requirements, choice.value);
				return Result.ok(this.createTarget(requirements, choice.value, permit?.value));
			}

			excluded = [...excluded, {targetId: choice.value.targetId, reason: 'permit-denied'}];
		}
	}

	private createTarget(requirements: TargetRequirements, choice: Choice, permit?: HeldPermit): ChosenTarget {
		const ownRequest = this.opts.directory.startRequest(choice.targetId, choice.startId);
		return new DirectoryTarget(this.opts, {
			choice, ownRequest, permit, requirements,
		});
	}

	private logChoice({requestId, model, adapter, service}: TargetRequirements, choice: Choice): void {
		this.opts.logger.info({
			requestId, model, adapter, service, policy: this.opts.policy.name, ...choice,
		}, 'Target chosen.');
	}

	private applyPolicy(requirements: TargetRequirements, excluded: readonly Excluded[]): Result<Choice, Verdict> {
		const {directory, policy, random, hostZone, config} = this.opts;
		const {model, adapter, service, prompt} = requirements;
		const index = config.getIndex();
		const candidateSet = directory.getCandidates({
			model, adapter, service, hostZone, zoneStates: this.opts.getZoneConditions(),
		});
		const isKnown = model === undefined ? index?.document.services.some(({id}) => id === service) : index?.models.has(model);
		return policy.choose(candidateSet, {
			model, adapter, service, prompt, known: isKnown ?? false, canLoadAdapter: candidateSet.candidates.every(({adapterResident}) => !adapterResident), excluded: [...excluded],
		}, random);
	}

	private chooseByStartId(requirements: TargetRequirements): Result<ChosenTarget, Verdict> {
		const target = this.opts.directory.getTargets().find(({entry}) => entry.startId === requirements.startId);
		if (!target) {
			return Result.err(refuse(503, 'target-left', 'The target that began the answer has left.'));
		}

		const {targetId, startId, zone, address} = target.entry;
		const choice: Choice = {
			targetId, startId, zone, address, needsPermit: false, adapterResident: true, reason: 'resume', considered: 1, scores: [],
		};
		return Result.ok(this.createTarget(requirements, choice));
	}
}
