import {type Registration, Signal} from '@egretrill/common';
import {type TargetCandidate, type TargetChoice, TargetChooser} from './choose-target.js';
import {
	COLD_GRANT_DELAY_MS, MAX_REGISTRATION_GAP_MS, REGISTRATION_TTL_MS, SUSPECT_MS,
} from './constants.js';
import {ColdSends} from './cold-sends.js';
import {getModelKey, indexTargets} from './index-targets.js';
import {getFailures, recordHealth} from './target-health.js';
import {TargetNotices, type TargetStart} from './target-notices.js';
import {type PricedWork, TargetPricing} from './target-pricing.js';
import type {TargetTableOptions} from './target-table-options.js';
import {type CountKeptTokens, PromptMemory} from './prompt-memory.js';
import {getSlotLimit, getUsualSlots} from './slot-limit.js';
import {
	changeAdapterUse, createTarget, getOutstanding, isLimited, limitUntilRegistered, recordActivity, setLeave, setOthers, type Target,
} from './tracked-target.js';
import type {
	AcquiredSlot, AdapterUse, RegistryUpdate, TargetOutcome, TargetRequirements,
} from './types.js';
import {ZoneReachability} from './zone-reachability.js';

/** Outcomes that say nothing of the health of the target; a sound one may be silent. */
const neutralOutcomes: ReadonlySet<TargetOutcome> = new Set(['replaced', 'unsent']);

/** What a choice needs of a request, computed once for all targets. */
type PreparedRequest = {readonly requirements: TargetRequirements; readonly pricedWork: PricedWork | undefined; readonly countCachedTokens: CountKeptTokens};

/** The targets known to an entry host, with its outstanding requests there. */
export class TargetTable {
	/** Notified when a slot may have become free or a target was added. */
	readonly changed = new Signal();
	private readonly targets = new Map<string, Target>();
	/** Sends to removed targets, whose next process may be registered within the second. */
	private readonly removedSends = new Map<string, ColdSends>();
	/** Rebuilt lazily after a change of the targets; changes are far rarer than requests. */
	private index: ReadonlyMap<string, readonly Target[]> | undefined;
	private readonly prompts: PromptMemory;
	private zonesOutOfService: ReadonlySet<string> = new Set();
	private followedRevision = {origin: '', revision: 0};
	private readonly reachability: ZoneReachability;
	private readonly notices: TargetNotices;
	private readonly pricing: TargetPricing | undefined;
	/** Start times of targets that leave by answers to other hosts; hints, by which a target ranks last. */
	private leavingHints: ReadonlyMap<string, number> = new Map();
	/** Times when models that are being loaded will be ready, by service and model. */
	private readyAtMs: ReadonlyMap<string, number> = new Map();

	constructor(private readonly opts: TargetTableOptions) {
		this.reachability = new ZoneReachability(opts.clock);
		this.notices = new TargetNotices(opts.clock);
		this.prompts = new PromptMemory(opts.clock, opts.promptMemory);
		this.pricing = opts.pricing && new TargetPricing(opts.pricing);
	}

	/** Returns the registry and revision of the last update. */
	getFollowedRevision(): {readonly origin: string; readonly revision: number} {
		return this.followedRevision;
	}

	/** Applies an update; targets whose entries were skipped are removed, since no usable entry about them follows while that fault lasts. */
	update({origin, revision, isWhole, targets, skippedIds = []}: RegistryUpdate): void {
		const nowMs = this.opts.clock.now();
		this.removeTargets(skippedIds);
		if (isWhole) {
			const ids = new Set(targets.map(({registration}) => registration.targetId));
			this.removeTargets([...this.targets.keys()].filter(id => !ids.has(id)));
		}

		for (const {registration, ageMs, hasEnded} of targets) {
			if (hasEnded || ageMs > REGISTRATION_TTL_MS) {
				this.removeTargets([registration.targetId]);
			} else {
				this.setTarget(registration, nowMs + registration.coldForMs - ageMs);
				setLeave(this.targets.get(registration.targetId), registration, nowMs - ageMs);
			}
		}

		this.followedRevision = {origin, revision};
		this.changed.notify();
	}

	/** Sets the zones whose targets get no requests. Those of a zone that returns may have become cold shortly before, which their next registrations tell. */
	setZonesOutOfService(zones: readonly string[]): void {
		const before = this.zonesOutOfService;
		this.zonesOutOfService = new Set(zones);
		for (const target of this.targets.values()) {
			const {zone} = target.registration;
			if (before.has(zone) && !this.zonesOutOfService.has(zone)) {
				target.returnedUntilMs = this.opts.clock.now() + MAX_REGISTRATION_GAP_MS;
			}
		}
	}

	/** Sets the outstanding requests of the other hosts at each target. */
	setOtherHostsRequests(counts: ReadonlyArray<readonly [targetId: string, count: number]>): void {
		const byId = new Map(counts);
		for (const [id, target] of this.targets) {
			setOthers(target, byId.get(id) ?? 0, this.opts.clock.now());
		}

		this.changed.notify();
	}

	/** Sets when models that no engine can serve yet are expected to be ready. */
	setExpectedModels(expected: ReadonlyArray<readonly [service: string, model: string, readyInMs: number]>): void {
		const nowMs = this.opts.clock.now();
		this.readyAtMs = new Map(expected.map(([service, model, readyInMs]) => [getModelKey(service, model), nowMs + readyInMs]));
	}

	/** Returns the time until a model that is being loaded is ready, or undefined if it is not being loaded. */
	getTimeUntilReadyMs(service: string, model: string): number | undefined {
		const readyAtMs = this.readyAtMs.get(getModelKey(service, model));
		return readyAtMs === undefined ? undefined : Math.max(0, readyAtMs - this.opts.clock.now());
	}

	/** Sets the targets that have told other hosts that they leave. */
	setLeavingHints(starts: readonly TargetStart[]): void {
		this.leavingHints = new Map(starts.map(({targetId, startedAtMs}) => [targetId, startedAtMs]));
	}

	/** Returns the targets that have told this host in their answers that they leave. */
	getLeaving(): readonly TargetStart[] {
		return this.notices.getLeaving().filter(({targetId, startedAtMs}) => this.targets.get(targetId)?.registration.startedAtMs === startedAtMs);
	}

	/** Returns the time until the first suitable target takes requests again, or undefined if there is none. */
	getPauseLeftMs(requirements: TargetRequirements): number | undefined {
		const pausesMs = this.listHolders(requirements).filter(target => this.takesRequest(target, requirements)).map(({registration}) => this.notices.getPauseLeftMs(registration));
		return pausesMs.length === 0 ? undefined : Math.min(...pausesMs);
	}

	/** Returns the outstanding requests of this host at each target. */
	getOwnRequests(): ReadonlyArray<readonly [targetId: string, count: number]> {
		return [...this.targets].filter(([, {ownRequests}]) => ownRequests > 0).map(([id, {ownRequests}]) => [id, ownRequests]);
	}

	/** Returns the outstanding requests of this host that use an adapter. */
	getAdapterUses(): readonly AdapterUse[] {
		const uses: AdapterUse[] = [];
		for (const [id, {adapterUses}] of this.targets) {
			for (const {model, adapter, count} of adapterUses.values()) {
				uses.push([id, model, adapter, count]);
			}
		}

		return uses;
	}

	/** Adds an adapter that an engine has just loaded, before the next registry update includes it. */
	addAdapter(targetId: string, model: string, adapter: string): void {
		const target = this.targets.get(targetId);
		const held = target?.registration.models.find(({name}) => name === model);
		if (target && held && !held.adapters.includes(adapter)) {
			const models = target.registration.models.map(other => other === held ? {...held, adapters: [...held.adapters, adapter]} : other);
			target.registration = {...target.registration, models};
			this.changed.notify();
		}
	}

	/** Adds a send to a cold target that the leader has granted until the given time. A process that was registered a moment ago gets none: hosts that have not been told of it send it more. */
	grantColdSend(targetId: string, endMs: number): void {
		const target = this.targets.get(targetId);
		const nowMs = this.opts.clock.now();
		if (target && nowMs - target.registeredMs >= COLD_GRANT_DELAY_MS && nowMs < Math.max(target.coldUntilMs, target.returnedUntilMs)) {
			target.coldSends.grant(nowMs, endMs);
		}

		this.changed.notify();
	}

	/** Records that a process of a target has ended. */
	recordEnd({targetId, startedAtMs}: TargetStart): void {
		const target = this.targets.get(targetId);
		if (target?.registration.startedAtMs === startedAtMs) {
			limitUntilRegistered(target, this.opts.clock.now());
		}
	}

	/** Chooses a target in one pass over those that hold the model. */
	choose(requirements: TargetRequirements): TargetChoice {
		const holders = this.listHolders(requirements);
		const prepared: PreparedRequest = {
			requirements,
			pricedWork: this.pricing?.getWork(requirements),
			countCachedTokens: this.prompts.createCounter(requirements, holders.length),
		};
		const chooser = new TargetChooser();
		for (const target of holders) {
			if (this.takesRequest(target, requirements)) {
				chooser.add(this.toCandidate(target, prepared));
			}
		}

		return chooser.getChoice();
	}

	/** Acquires a slot at a chosen target. */
	acquireSlot(targetId: string, requirements: TargetRequirements): AcquiredSlot | undefined {
		const {model, adapter} = requirements;
		const target = this.targets.get(targetId);
		if (!target) {
			return undefined;
		}

		const outstanding = getOutstanding(target, this.opts.clock.now());
		const endPrompt = this.prompts.recordSend(target, requirements);
		target.ownRequests += 1;
		changeAdapterUse(target, model, adapter, 1);
		const acquiredMs = this.opts.clock.now();
		const basis = target.coldSends.record(acquiredMs, this.opts.getColdRate(target.registration.service), isLimited(target, this.opts.clock.now()));
		if (basis) {
			this.opts.onColdSends?.(basis, 1);
		}

		let isReleased = false;
		let slowdown = 1;
		return {
			registration: target.registration,
			outstanding,
			wasCold: acquiredMs < target.coldUntilMs,
			isLeaving: () => this.isLeaving(target) || !this.targets.has(targetId),
			getLeaveLeftMs: () => target.leavesAtMs === undefined ? undefined : Math.max(0, target.leavesAtMs - this.opts.clock.now()),
			recordLoad: ({running, waiting, slowdown: reported}) => {
				setOthers(target, Math.max(0, running + waiting - target.ownRequests), this.opts.clock.now());
				if (reported !== undefined) {
					this.pricing?.recordSlowdown(target, reported, this.opts.clock.now());
					slowdown = target.slowdown;
				}
			},
			recordStream: (events, durationMs) => {
				if (model !== undefined) {
					this.pricing?.recordStream(target, {
						model, events, durationMs, slowdown,
					});
				}
			},
			reportSilence: () => {
				target.silentUntilMs = this.opts.clock.now() + SUSPECT_MS;
			},
			reportLeaving: () => {
				this.notices.recordLeaving(target.registration);
			},
			reportPause: pauseMs => {
				this.notices.recordPause(target.registration, pauseMs);
			},
			recordActivity() {
				recordActivity(target, acquiredMs);
			},
			release: outcome => {
				if (isReleased) {
					return;
				}

				isReleased = true;
				target.ownRequests -= 1;
				changeAdapterUse(target, model, adapter, -1);
				endPrompt(outcome);
				if (!neutralOutcomes.has(outcome)) {
					this.recordOutcome(target, outcome);
				}

				this.changed.notify();
			},
		};
	}

	private recordOutcome(target: Target, outcome: TargetOutcome): void {
		if (outcome === 'unreachable') {
			this.reachability.recordUnreachable(target.registration);
			limitUntilRegistered(target, this.opts.clock.now());
		} else {
			this.reachability.recordAnswer(target.registration);
		}

		recordHealth(target, outcome, this.opts.clock.now());
	}

	private isSilent({silentUntilMs}: Target): boolean {
		return silentUntilMs > this.opts.clock.now();
	}

	private isLeaving({registration}: Target): boolean {
		return registration.isLeaving || this.notices.isLeaving(registration);
	}

	/** Targets that hold what a request requires apart from its adapter. */
	private listHolders({service, model}: TargetRequirements): readonly Target[] {
		this.index ??= indexTargets(this.targets.values());
		return this.index.get(getModelKey(service, model)) ?? [];
	}

	private takesRequest(target: Target, {tried, avoidsSilent}: TargetRequirements): boolean {
		const {targetId, zone} = target.registration;
		const isAvoided = tried.has(targetId) || (avoidsSilent && this.isSilent(target));
		return !this.isLeaving(target) && !this.zonesOutOfService.has(zone) && !isAvoided;
	}

	private isSuspected(target: Target): boolean {
		return target.suspectedUntilMs > this.opts.clock.now() || this.isSilent(target) || this.reachability.isSuspected(target.registration.zone) || this.isHintedToLeave(target);
	}

	private isHintedToLeave({registration}: Target): boolean {
		return this.leavingHints.size > 0 && this.leavingHints.get(registration.targetId) === registration.startedAtMs;
	}

	private toCandidate(target: Target, {requirements: {service, model, adapter, beyondSlots = 0}, pricedWork, countCachedTokens}: PreparedRequest): TargetCandidate {
		const {registration: {targetId, zone, slots: ownSlots, models}} = target;
		const held = model === undefined ? undefined : models.find(({name}) => name === model);
		const hasAdapter = adapter === undefined || (held?.adapters.includes(adapter) ?? false);
		const nowMs = this.opts.clock.now();
		const outstanding = getOutstanding(target, nowMs);
		const batchSlots = this.opts.getBatchSlots(service);
		const slots = getSlotLimit({ownSlots, batchSlots, beyondSlots});
		// The cost of a target that is full or lacks the adapter is never compared.
		const cachedTokens = hasAdapter && outstanding < slots ? countCachedTokens(target) : 0;
		return {
			targetId,
			isSameZone: zone === this.opts.zone,
			isSuspected: this.isSuspected(target),
			isPaused: this.notices.getPauseLeftMs(target.registration) > 0,
			failures: getFailures(target, nowMs),
			hasAdapter,
			outstanding,
			slots,
			isCold: nowMs < target.coldUntilMs,
			hasColdCapacity: this.hasColdCapacity(target),
			cachedTokens,
			completion: pricedWork && hasAdapter && outstanding < slots
				? this.pricing?.estimate(pricedWork, {
					target, slots: getUsualSlots({ownSlots, batchSlots}), cachedTokens, nowMs,
				})
				: undefined,
		};
	}

	private hasColdCapacity(target: Target): boolean {
		return !isLimited(target, this.opts.clock.now()) || target.coldSends.hasCapacity(this.opts.clock.now(), this.opts.getColdRate(target.registration.service));
	}

	private setTarget(registration: Registration, coldUntilMs: number): void {
		this.index = undefined;
		const known = this.targets.get(registration.targetId);
		const nowMs = this.opts.clock.now();
		if (known && nowMs < coldUntilMs && !isLimited(known, nowMs)) {
			this.opts.onColdSends?.('unknown', known.coldSends.countRecent(nowMs));
		}

		if (known?.registration.startedAtMs === registration.startedAtMs) {
			known.registration = registration;
			known.coldUntilMs = coldUntilMs;
			return;
		}

		this.prompts.removeTarget(registration.targetId);
		// The last sends may have reached the new process before it was registered.
		const coldSends = known?.coldSends ?? this.removedSends.get(registration.targetId) ?? new ColdSends(nowMs, this.opts.random());
		this.removedSends.delete(registration.targetId);
		this.targets.set(registration.targetId, createTarget({
			registration, coldUntilMs, registeredMs: nowMs, coldSends,
		}));
	}

	private removeTargets(ids: readonly string[]): void {
		this.index = undefined;
		for (const id of ids) {
			const target = this.targets.get(id);
			if (target) {
				this.removedSends.set(id, target.coldSends);
			}

			this.targets.delete(id);
			this.prompts.removeTarget(id);
		}

		for (const [id, sends] of this.removedSends) {
			if (sends.countRecent(this.opts.clock.now()) === 0) {
				this.removedSends.delete(id);
			}
		}
	}
}
