import {
	type Clock, type Random, type Registration, Signal,
} from '@egretrill/common';
import {type TargetCandidate, chooseTarget, type TargetChoice} from './choose-target.js';
import {
	OTHER_COUNTS_TTL_MS, SPARSE_COLD_RATIO, SUSPECT_ZONE_MIN_TARGETS, SUCCESS_DECAY_RATIO, FAILURE_DECAY_MS, MAX_SUSPECT_MS, QUEUED_PER_SLOT, REGISTRATION_TTL_MS, SUSPECT_MS,
} from './constants.js';
import {CachedPrompts} from './cached-prompts.js';
import {getModelKey, indexTargets} from './index-targets.js';
import type {RegistryUpdate} from './types.js';

const MS_PER_SECOND = 1000;

type Target = {
	registration: Registration;
	coldUntilMs: number;
	/** Outstanding requests of this host. */
	ownRequests: number;
	/** Outstanding requests of this host that use an adapter, by model and adapter. */
	readonly adapterUses: Map<string, {readonly model: string; readonly adapter: string; readonly count: number}>;
	/** Outstanding requests of the other hosts, as last reported by the leader or the target, and the time of that report. */
	otherHostsRequests: number;
	othersReportedMs: number;
	suspectedUntilMs: number;
	/** End of the time for which the target counts as silent unless something arrives from it. */
	silentUntilMs: number;
	/** Recent failures, decayed over time. */
	failures: number;
	failuresUpdatedMs: number;
	/** Consecutive requests that could not reach the target, and the time of the last one. */
	unreachableCount: number;
	unreachableMs: number;
	/** Send times of the last second, only recorded while the target is cold. */
	coldSends: readonly number[];
	/** Time of the next send while the target is cold and this host's share of it is less than one request a second. */
	nextColdSendMs: number;
};

/** Number of requests that use an adapter of a target's model. */
export type AdapterUse = readonly [targetId: string, model: string, adapter: string, count: number];

/** Requirements of a request for its target. */
export type TargetRequirements = {
	readonly service: string;
	readonly model?: string;
	readonly adapter?: string;
	readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	/** Targets to which this request has already been sent. */
	readonly tried: ReadonlySet<string>;
	/** Leaves out targets that are silent now. */
	readonly avoidsSilent?: boolean;
};

/** Outcome of a request at its target: it answered, failed or refused the request, aborted the answer, could not be reached, was silent until another target took over, or was sent nothing. */
export type TargetOutcome = 'answered' | 'failed' | 'broke-off' | 'unreachable' | 'replaced' | 'unsent';

/** Outcomes that say nothing of the health of the target; a sound one may be silent. */
const neutralOutcomes: ReadonlySet<TargetOutcome> = new Set(['replaced', 'unsent']);

/** A slot for one request at a target, held until it is released with the outcome. */
export type AcquiredSlot = {
	readonly registration: Registration;
	readonly outstanding: number;
	readonly wasCold: boolean;
	/** Whether the target has announced that it leaves, or has left the registry, since the slot was acquired. */
	readonly isLeaving: () => boolean;
	readonly updateOutstanding: (count: number) => void;
	/** Ranks the target last for a while, since it is silent in the middle of its answer. */
	readonly reportSilence: () => void;
	/** Records that something has arrived from the target, which ends its silence. */
	readonly recordActivity: () => void;
	readonly release: (outcome: TargetOutcome) => void;
};

export type TargetTableOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly zone: string;
	/** Requests per second that this host may send to a cold target of a service. */
	readonly getColdRate: (service: string) => number;
	/** Number of requests that a target runs concurrently if its service has engines. */
	readonly getBatchSlots: (service: string) => number | undefined;
};

function changeAdapterUse({adapterUses}: Target, model: string | undefined, adapter: string | undefined, change: number): void {
	if (model === undefined || adapter === undefined) {
		return;
	}

	const key = JSON.stringify([model, adapter]);
	const count = (adapterUses.get(key)?.count ?? 0) + change;
	if (count > 0) {
		adapterUses.set(key, {model, adapter, count});
	} else {
		adapterUses.delete(key);
	}
}

function filterLastSecond(times: readonly number[], nowMs: number): readonly number[] {
	return times.filter(timeMs => nowMs - timeMs < MS_PER_SECOND);
}

/** Ends the silence of a target, and the longer suspicion after several connections that timed out: a silent target with a full queue of new connections is neither powered off nor partitioned. */
function recordActivity(target: Target): void {
	target.silentUntilMs = 0;
	if (target.unreachableCount > 0) {
		target.suspectedUntilMs = Math.min(target.suspectedUntilMs, target.unreachableMs + SUSPECT_MS);
	}
}

/** The targets known to an entry host, with its outstanding requests there. */
export class TargetTable {
	/** Notified when a slot may have become free or a target was added. */
	readonly changed = new Signal();
	private readonly targets = new Map<string, Target>();
	/** Rebuilt lazily after a change of the targets; changes are far rarer than requests. */
	private index: ReadonlyMap<string, readonly Target[]> | undefined;
	private readonly cachedPrompts = new CachedPrompts();
	private zonesOutOfService: ReadonlySet<string> = new Set();
	private followedRevision = {origin: '', revision: 0};
	/** Targets of each zone that could not be reached since the last answer from that zone. */
	private readonly unreachable = new Map<string, {readonly targetIds: ReadonlySet<string>; readonly updatedMs: number}>();
	/** Times when models that are being loaded will be ready, by service and model. */
	private readyAtMs: ReadonlyMap<string, number> = new Map();

	constructor(private readonly opts: TargetTableOptions) {}

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
			}
		}

		this.followedRevision = {origin, revision};
		this.changed.notify();
	}

	setZonesOutOfService(zones: readonly string[]): void {
		this.zonesOutOfService = new Set(zones);
	}

	/** Sets the outstanding requests of the other hosts at each target. */
	setOtherHostsRequests(counts: ReadonlyArray<readonly [targetId: string, count: number]>): void {
		const byId = new Map(counts);
		for (const [id, target] of this.targets) {
			this.setOthers(target, byId.get(id) ?? 0);
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

	choose(requirements: TargetRequirements): TargetChoice {
		return chooseTarget(this.getCandidates(requirements));
	}

	/** Acquires a slot at a chosen target. */
	acquireSlot(targetId: string, {model, adapter, parts}: TargetRequirements): AcquiredSlot | undefined {
		const target = this.targets.get(targetId);
		if (!target) {
			return undefined;
		}

		const outstanding = this.getOutstanding(target);
		target.ownRequests += 1;
		changeAdapterUse(target, model, adapter, 1);
		this.recordColdSend(target);
		if (model !== undefined) {
			this.cachedPrompts.record(targetId, model, parts);
		}

		let isReleased = false;
		return {
			registration: target.registration,
			outstanding,
			wasCold: this.opts.clock.now() < target.coldUntilMs,
			isLeaving: () => target.registration.isLeaving || !this.targets.has(targetId),
			updateOutstanding: count => {
				this.setOthers(target, Math.max(0, count - target.ownRequests));
			},
			reportSilence: () => {
				target.silentUntilMs = this.opts.clock.now() + SUSPECT_MS;
			},
			recordActivity() {
				recordActivity(target);
			},
			release: outcome => {
				if (isReleased) {
					return;
				}

				isReleased = true;
				target.ownRequests -= 1;
				changeAdapterUse(target, model, adapter, -1);
				if (!neutralOutcomes.has(outcome)) {
					this.recordOutcome(target, outcome);
				}

				this.changed.notify();
			},
		};
	}

	/** Each request to a powered-off or partitioned target costs a timeout, so it ranks last for twice as long after each failure. */
	private recordOutcome(target: Target, outcome: TargetOutcome): void {
		this.recordZoneReachability(target.registration, outcome);
		target.unreachableCount = outcome === 'unreachable' ? target.unreachableCount + 1 : 0;
		this.recordFailure(target, outcome);
		target.unreachableMs = outcome === 'unreachable' ? this.opts.clock.now() : target.unreachableMs;
		if (outcome === 'broke-off' || outcome === 'unreachable') {
			const factor = 2 ** Math.max(0, target.unreachableCount - 1);
			target.suspectedUntilMs = this.opts.clock.now() + Math.min(SUSPECT_MS * factor, MAX_SUSPECT_MS);
		}
	}

	/** Counts failures of targets that still respond; unreachable targets are handled by suspicion instead. */
	private recordFailure(target: Target, outcome: TargetOutcome): void {
		if (outcome !== 'unreachable') {
			const failures = this.getFailures(target);
			target.failures = outcome === 'answered' ? failures * SUCCESS_DECAY_RATIO : failures + 1;
			target.failuresUpdatedMs = this.opts.clock.now();
		}
	}

	private setOthers(target: Target, count: number): void {
		target.otherHostsRequests = count;
		target.othersReportedMs = this.opts.clock.now();
	}

	/** Requests of all hosts at a target. A host that is cut off from the leader must not take old counts of the others for running requests. */
	private getOutstanding({ownRequests, otherHostsRequests, othersReportedMs}: Target): number {
		return ownRequests + (this.opts.clock.now() - othersReportedMs > OTHER_COUNTS_TTL_MS ? 0 : otherHostsRequests);
	}

	private getFailures({failures, failuresUpdatedMs}: Target): number {
		return failures * Math.exp((failuresUpdatedMs - this.opts.clock.now()) / FAILURE_DECAY_MS);
	}

	/** Tracks unreachable targets by zone. Several of them indicate a partition of the zone; the first answer from it clears them. */
	private recordZoneReachability({targetId, zone}: Registration, outcome: TargetOutcome): void {
		if (outcome === 'unreachable') {
			const known = this.unreachable.get(zone)?.targetIds ?? [];
			this.unreachable.set(zone, {targetIds: new Set([...known, targetId]), updatedMs: this.opts.clock.now()});
		} else {
			this.unreachable.delete(zone);
		}
	}

	private isZoneSuspected(zone: string): boolean {
		const {targetIds, updatedMs} = this.unreachable.get(zone) ?? {targetIds: new Set(), updatedMs: 0};
		return targetIds.size >= SUSPECT_ZONE_MIN_TARGETS && this.opts.clock.now() - updatedMs < SUSPECT_MS;
	}

	private isSilent({silentUntilMs}: Target): boolean {
		return silentUntilMs > this.opts.clock.now();
	}

	private getCandidates(requirements: TargetRequirements): readonly TargetCandidate[] {
		this.index ??= indexTargets(this.targets.values());
		const candidates: TargetCandidate[] = [];
		for (const target of this.index.get(getModelKey(requirements.service, requirements.model)) ?? []) {
			const {targetId, isLeaving, zone, models} = target.registration;
			const isAvoided = requirements.tried.has(targetId) || (requirements.avoidsSilent && this.isSilent(target));
			if (!isLeaving && !this.zonesOutOfService.has(zone) && !isAvoided) {
				const held = requirements.model === undefined ? undefined : models.find(({name}) => name === requirements.model);
				candidates.push(this.toCandidate(target, requirements, held?.adapters));
			}
		}

		return candidates;
	}

	private toCandidate(target: Target, {service, model, adapter, parts}: TargetRequirements, adapters: readonly string[] | undefined): TargetCandidate {
		const {registration: {targetId, zone, slots}} = target;
		const batchSlots = this.opts.getBatchSlots(service);
		const hasAdapter = adapter === undefined || (adapters?.includes(adapter) ?? false);
		return {
			targetId,
			isSameZone: zone === this.opts.zone,
			isSuspected: target.suspectedUntilMs > this.opts.clock.now() || this.isSilent(target) || this.isZoneSuspected(zone),
			failures: this.getFailures(target),
			hasAdapter,
			outstanding: this.getOutstanding(target),
			slots: batchSlots ?? Math.ceil(slots * (1 + QUEUED_PER_SLOT)),
			isCold: this.opts.clock.now() < target.coldUntilMs,
			hasColdCapacity: this.hasColdCapacity(target),
			// The cost of a target without the adapter is never compared.
			cachedTokens: model === undefined || !hasAdapter ? 0 : this.cachedPrompts.countTokens(targetId, model, parts),
		};
	}

	private hasColdCapacity(target: Target): boolean {
		const nowMs = this.opts.clock.now();
		const rate = this.opts.getColdRate(target.registration.service);
		if (nowMs >= target.coldUntilMs || rate <= 0) {
			return true;
		}

		return rate < 1 ? nowMs >= target.nextColdSendMs : filterLastSecond(target.coldSends, nowMs).length < Math.floor(rate);
	}

	/** Time between two sends to a cold target of which this host may take less than one request a second. */
	private getColdIntervalMs(service: string): number {
		const rate = this.opts.getColdRate(service);
		return rate > 0 && rate < 1 ? MS_PER_SECOND / (rate * SPARSE_COLD_RATIO) : 0;
	}

	private recordColdSend(target: Target): void {
		const nowMs = this.opts.clock.now();
		target.coldSends = nowMs < target.coldUntilMs ? [...filterLastSecond(target.coldSends, nowMs), nowMs] : [];
		target.nextColdSendMs = nowMs + this.getColdIntervalMs(target.registration.service);
	}

	private setTarget(registration: Registration, coldUntilMs: number): void {
		this.index = undefined;
		const known = this.targets.get(registration.targetId);
		const nowMs = this.opts.clock.now();
		// The hosts begin at random times, since together they could send a cold target one request each at once.
		const nextColdSendMs = nowMs + (this.opts.random() * this.getColdIntervalMs(registration.service));
		if (known?.registration.startedAtMs === registration.startedAtMs) {
			known.nextColdSendMs = known.coldUntilMs <= nowMs ? nextColdSendMs : known.nextColdSendMs;
			known.registration = registration;
			known.coldUntilMs = coldUntilMs;
			return;
		}

		this.cachedPrompts.removeTarget(registration.targetId);
		this.targets.set(registration.targetId, {
			registration, coldUntilMs, ownRequests: 0, adapterUses: new Map(), otherHostsRequests: 0, othersReportedMs: 0, suspectedUntilMs: 0, silentUntilMs: 0, failures: 0, failuresUpdatedMs: 0, unreachableCount: 0, unreachableMs: 0, coldSends: [], nextColdSendMs,
		});
	}

	private removeTargets(ids: readonly string[]): void {
		this.index = undefined;
		for (const id of ids) {
			this.targets.delete(id);
			this.cachedPrompts.removeTarget(id);
		}
	}
}
