import {
	ChosenTarget, type ConfigSource, type TargetOutcome, TargetPool, type TargetRequirements,
} from '@egretrill/callers';
import {
	type Clock, type Logger, type Random, refuse, type TargetAddress, type Verdict,
} from '@egretrill/common';
import type {
	Choice, ColdPermitHolder, CollapseDetector, DirectoryEntry, HeldPermit, OwnRequest, PrefixBelief, RoutingPolicy, RoutingRequest, TargetDirectory, ZoneConditions,
} from '@egretrill/engines';
import {Result} from 'true-myth';
import {POOL_RETRY_MS} from '../constants.js';
import type {AdapterLoader} from './adapter-loader.js';
import {isConnectionRefused} from './probe.js';

export type DirectoryPoolOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly hostZone: string;
	readonly directory: TargetDirectory;
	readonly policy: RoutingPolicy;
	readonly permits: ColdPermitHolder;
	readonly collapses: CollapseDetector;
	readonly belief?: PrefixBelief;
	readonly config: ConfigSource;
	readonly getZoneConditions: () => ZoneConditions;
	readonly adapters: AdapterLoader;
};

type Excluded = RoutingRequest['excluded'][number];

/** Refusals that may end before the request's deadline; refusing at once would be wrongful. */
const passingCodes: ReadonlySet<string> = new Set(['copies-busy', 'no-target', 'cold-target', 'permit-unavailable']);

/** What the choice of a target left to give back. */
type HeldTarget = {
	readonly choice: Choice;
	readonly own: OwnRequest | undefined;
	readonly permit?: HeldPermit;
	readonly want: TargetRequirements;
};

/** A target of the directory that runs one request. */
class DirectoryTarget extends ChosenTarget {
	override readonly address: TargetAddress;
	override readonly hasPermit: boolean;

	constructor(private readonly opts: DirectoryPoolOptions, private readonly held: HeldTarget) {
		super();
		const {targetId, startId, address} = held.choice;
		this.address = {targetId, startId, address};
		this.hasPermit = held.permit !== undefined;
	}

	override isAvailable(): boolean {
		const entry = this.opts.directory.getEntry(this.held.choice.targetId, this.held.choice.startId);
		const isZoneOpen = this.opts.getZoneConditions()[this.held.choice.zone]?.state !== 'taken-out';
		return entry !== undefined && !entry.leaving && isZoneOpen && this.canWrite(entry);
	}

	override isProcessAnnounced(): boolean {
		return this.opts.directory.getEntry(this.held.choice.targetId, this.held.choice.startId) !== undefined;
	}

	override async hasEnded(): Promise<boolean> {
		return !this.isProcessAnnounced() || isConnectionRefused(this.address.address);
	}

	override recordFirstToken(elapsedMs: number): void {
		this.noteLatency(elapsedMs);
	}

	override release(outcome: TargetOutcome): void {
		const {directory, permits} = this.opts;
		const {targetId, startId} = this.address;
		if (this.held.own) {
			directory.endRequest(this.held.own);
		}

		if (this.held.permit) {
			void permits.release(this.held.permit, outcome === 'unreachable' ? 'failed' : outcome);
		}

		switch (outcome) {
			case 'unreachable': {
				directory.recordConnectFailure(targetId, startId);

				break;
			}

			case 'completed': {
				directory.recordConnectSuccess(targetId, startId);
				this.notePrefix();

				break;
			}

			case 'failed': {
				this.noteLatency('failed');

				break;
			}
		// No default
		}
	}

	/** A target may have turned cold since it was chosen; without a permit it takes nothing then. */
	private canWrite({kind, warmth}: DirectoryEntry): boolean {
		const {permit} = this.held;
		return permit ? this.opts.permits.canWrite(permit) : kind !== 'engine' || warmth.warm;
	}

	/** The engine now holds the prompt's prefix, before any cache event says so. */
	private notePrefix(): void {
		const {belief} = this.opts;
		if (belief && this.held.want?.model !== undefined) {
			belief.recordCompleted(this.held.choice.targetId, this.held.choice.startId, belief.getBlocks(this.held.want.model, this.held.want.adapter, this.held.want.prompt));
		}
	}

	private noteLatency(latency: number | 'failed'): void {
		const {targetId, startId} = this.address;
		if (this.held.want?.kind === 'engine' && this.opts.collapses.record(targetId, startId, latency)) {
			this.opts.logger.warn({targetId, startId}, 'A warm target answers like a cold one.');
			void this.opts.permits.reportCold(this.held.choice.zone, {targetId, startId});
		}
	}
}

/** Chooses targets from the directory by the configured policy. */
export class DirectoryPool extends TargetPool {
	private readonly choosing = new Map<string, number>();

	constructor(private readonly opts: DirectoryPoolOptions) {
		super();
	}

	override getFreeSlots(model: string): number {
		const {directory, hostZone} = this.opts;
		return directory.getFreeSlots({model, hostZone, zoneStates: this.opts.getZoneConditions()});
	}

	/** Requests that have left their queue and wait for a target, by model. */
	getWaitingByModel(): ReadonlyMap<string, number> {
		return this.choosing;
	}

	override async choose(want: TargetRequirements, signal: AbortSignal): Promise<Result<ChosenTarget, Verdict>> {
		const {model = ''} = want;
		this.countChoosing(model, 1);
		try {
			return await this.chooseInTime(want, signal);
		} finally {
			this.countChoosing(model, -1);
		}
	}

	private countChoosing(model: string, change: number): void {
		const count = (this.choosing.get(model) ?? 0) + change;
		if (count === 0) {
			this.choosing.delete(model);
		} else {
			this.choosing.set(model, count);
		}
	}

	private async chooseInTime(want: TargetRequirements, signal: AbortSignal): Promise<Result<ChosenTarget, Verdict>> {
		const {clock, logger} = this.opts;
		const endsMs = clock.now() + want.timeoutMs;
		for (;;) {
			const chosen = want.startId === undefined ? await this.tryChoose(want) : this.findStart(want);
			if (chosen.isOk) {
				return chosen;
			}

			// A request that has failed at every copy is told so at once; any other may wait for a copy.
			const mayPass = passingCodes.has(chosen.error.code) && (chosen.error.code !== 'no-target' || want.excluded.size === 0);
			const canWait = mayPass && !signal.aborted && clock.now() + POOL_RETRY_MS < endsMs;
			if (!canWait) {
				logger.info({
					requestId: want.requestId, model: want.model, service: want.service, code: chosen.error.code,
				}, 'No target chosen.');
				return Result.err(chosen.error);
			}

			await clock.sleep(POOL_RETRY_MS, signal);
		}
	}

	/** Goes through the candidates once; a cold one that gives no permit is passed over. */
	private async tryChoose(want: TargetRequirements): Promise<Result<ChosenTarget, Verdict>> {
		let excluded: readonly Excluded[] = [...want.excluded].map(targetId => ({targetId, reason: 'tried'}));
		for (;;) {
			const choice = this.decide(want, excluded);
			if (choice.isErr) {
				return Result.err(choice.error);
			}

			// An adapter that is resident nowhere is loaded before the request goes out, since the engine would refuse it.
			const isLoaded = choice.value.adapterResident || await this.opts.adapters.load(choice.value, want);
			if (!isLoaded) {
				excluded = [...excluded, {targetId: choice.value.targetId, reason: 'permit-denied'}];
				continue;
			}

			const permit = choice.value.needsPermit ? await this.opts.permits.acquire(choice.value) : undefined;
			if (!permit?.isErr) {
				this.logChoice(want, choice.value);
				return Result.ok(this.createTarget(want, choice.value, permit?.value));
			}

			excluded = [...excluded, {targetId: choice.value.targetId, reason: 'permit-denied'}];
		}
	}

	private createTarget(want: TargetRequirements, choice: Choice, permit?: HeldPermit): ChosenTarget {
		const own = this.opts.directory.beginRequest(choice.targetId, choice.startId);
		return new DirectoryTarget(this.opts, {
			choice, own, permit, want,
		});
	}

	private logChoice({requestId, model, adapter, service}: TargetRequirements, choice: Choice): void {
		this.opts.logger.info({
			requestId, model, adapter, service, policy: this.opts.policy.name, ...choice,
		}, 'Target chosen.');
	}

	private decide(want: TargetRequirements, excluded: readonly Excluded[]): Result<Choice, Verdict> {
		const {directory, policy, random, hostZone, config} = this.opts;
		const {model, adapter, service, prompt} = want;
		const index = config.getIndex();
		const set = directory.getCandidates({
			model, adapter, service, hostZone, zoneStates: this.opts.getZoneConditions(),
		});
		const known = model === undefined ? index?.document.services.some(({id}) => id === service) : index?.models.has(model);
		return policy.choose(set, {
			model, adapter, service, prompt, known: known ?? false, canLoadAdapter: set.candidates.every(({adapterResident}) => !adapterResident), excluded: [...excluded],
		}, random);
	}

	private findStart(want: TargetRequirements): Result<ChosenTarget, Verdict> {
		const live = this.opts.directory.getTargets().find(({entry}) => entry.startId === want.startId);
		if (!live) {
			return Result.err(refuse(503, 'target-left', 'The target that began the answer has left.'));
		}

		const {targetId, startId, zone, address} = live.entry;
		const choice: Choice = {
			targetId, startId, zone, address, needsPermit: false, adapterResident: true, reason: 'resume', considered: 1, scores: [],
		};
		return Result.ok(this.createTarget(want, choice));
	}
}
