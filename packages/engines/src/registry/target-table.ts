import {type Clock, type Registration, Signal} from '@egretrill/common';
import {type TargetCandidate, chooseTarget, type TargetChoice} from './choose-target.js';
import {
	SUSPECT_ZONE_MIN_TARGETS, SUCCESS_DECAY_RATIO, FAILURE_DECAY_MS, MAX_SUSPECT_MS, QUEUED_PER_SLOT, REGISTRATION_TTL_MS, SUSPECT_MS,
} from './constants.js';
import {CachedPrompts} from './cached-prompts.js';
import type {RegistryUpdate} from './types.js';

const MS_PER_SECOND = 1000;

type Target = {
	registration: Registration;
	coldUntilMs: number;
	/** Requests of this host that have not ended. */
	own: number;
	/** Requests of this host that use an adapter, by model and adapter. */
	readonly ownAdapters: Map<string, {readonly model: string; readonly adapter: string; readonly count: number}>;
	/** Requests of the other hosts, as the leader or the target told last. */
	others: number;
	suspectUntilMs: number;
	/** Failures of late; older ones count less. */
	failures: number;
	failuresMs: number;
	/** Requests in a row that could not reach the target. */
	unreachableCount: number;
	/** Times of the sends of the last second, kept while the target is cold. */
	coldSends: readonly number[];
};

/** Requests that use an adapter of a target's model. */
export type AdapterUse = readonly [targetId: string, model: string, adapter: string, count: number];

/** What a request needs of its target. */
export type TargetRequirements = {
	readonly service: string;
	readonly model?: string;
	readonly adapter?: string;
	readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	/** Targets that have already had this request. */
	readonly tried: ReadonlySet<string>;
};

/** What a request tells of its target: whether it answered, failed or refused the request, broke off, or could not be reached at all. */
export type TargetOutcome = 'answered' | 'failed' | 'broke-off' | 'unreachable';

/** A place at a target; `end` gives it back. */
export type AcquiredSlot = {readonly registration: Registration; readonly outstanding: number; readonly updateOutstanding: (count: number) => void; readonly release: (end: TargetOutcome) => void};

export type TargetTableOptions = {
	readonly clock: Clock;
	readonly zone: string;
	/** Requests a second that this host may send to a cold target of a service. */
	readonly getColdRate: (service: string) => number;
	/** Requests that a target runs at once when its service has engines. */
	readonly getBatchSlots: (service: string) => number | undefined;
};

function getModelKey(service: string, model?: string): string {
	return JSON.stringify([service, model]);
}

/** Targets by service, and by service and model, in the order of the given ones. */
function createIndex(targets: Iterable<Target>): ReadonlyMap<string, readonly Target[]> {
	const index = new Map<string, Target[]>();
	for (const target of targets) {
		const {service, models} = target.registration;
		// A target may hold two versions of a model.
		for (const key of new Set([getModelKey(service), ...models.map(({name}) => getModelKey(service, name))])) {
			const known = index.get(key);
			if (known) {
				known.push(target);
			} else {
				index.set(key, [target]);
			}
		}
	}

	return index;
}

function countAdapter({ownAdapters}: Target, model: string | undefined, adapter: string | undefined, change: number): void {
	if (model === undefined || adapter === undefined) {
		return;
	}

	const key = JSON.stringify([model, adapter]);
	const count = (ownAdapters.get(key)?.count ?? 0) + change;
	if (count > 0) {
		ownAdapters.set(key, {model, adapter, count});
	} else {
		ownAdapters.delete(key);
	}
}

function getRecent(times: readonly number[], nowMs: number): readonly number[] {
	return times.filter(timeMs => nowMs - timeMs < MS_PER_SECOND);
}

/** The targets as an entry host knows them, and what it has running there. */
export class TargetTable {
	/** Notified when a place may have become free or a target appeared. */
	readonly changed = new Signal();
	private readonly targets = new Map<string, Target>();
	/** Made again after a change of the targets, of which there are far fewer than requests. */
	private index: ReadonlyMap<string, readonly Target[]> | undefined;
	private readonly kept = new CachedPrompts();
	private zonesOut: ReadonlySet<string> = new Set();
	private known = {origin: '', revision: 0};
	/** Targets of each zone that could not be reached since one of them answered last. */
	private readonly unreachable = new Map<string, {readonly targetIds: ReadonlySet<string>; readonly seenMs: number}>();
	/** When models that are on their way can serve, by service and model. */
	private readyAtMs: ReadonlyMap<string, number> = new Map();

	constructor(private readonly opts: TargetTableOptions) {}

	/** Registry and revision that this host follows. */
	getFollowedRevision(): {readonly origin: string; readonly revision: number} {
		return this.known;
	}

	update({origin, revision, isWhole, targets}: RegistryUpdate): void {
		const nowMs = this.opts.clock.now();
		if (isWhole) {
			const ids = new Set(targets.map(({registration}) => registration.targetId));
			this.drop([...this.targets.keys()].filter(id => !ids.has(id)));
		}

		for (const {registration, ageMs, hasEnded} of targets) {
			if (hasEnded || ageMs > REGISTRATION_TTL_MS) {
				this.drop([registration.targetId]);
			} else {
				this.put(registration, nowMs + registration.coldForMs - ageMs);
			}
		}

		this.known = {origin, revision};
		this.changed.notify();
	}

	setZonesOutOfService(zones: readonly string[]): void {
		this.zonesOut = new Set(zones);
	}

	/** Takes over what the other hosts have running at each target. */
	setOtherHostsRequests(counts: ReadonlyArray<readonly [targetId: string, count: number]>): void {
		const byId = new Map(counts);
		for (const [id, target] of this.targets) {
			target.others = byId.get(id) ?? 0;
		}

		this.changed.notify();
	}

	/** Takes over when models that no engine can serve yet are expected. */
	setExpectedModels(expected: ReadonlyArray<readonly [service: string, model: string, readyInMs: number]>): void {
		const nowMs = this.opts.clock.now();
		this.readyAtMs = new Map(expected.map(([service, model, readyInMs]) => [getModelKey(service, model), nowMs + readyInMs]));
	}

	/** Time until a model on its way can serve; undefined when none is. */
	getReadyMs(service: string, model: string): number | undefined {
		const readyAtMs = this.readyAtMs.get(getModelKey(service, model));
		return readyAtMs === undefined ? undefined : Math.max(0, readyAtMs - this.opts.clock.now());
	}

	/** Requests of this host at each target. */
	getOwnRequests(): ReadonlyArray<readonly [targetId: string, count: number]> {
		return [...this.targets].filter(([, {own}]) => own > 0).map(([id, {own}]) => [id, own]);
	}

	/** Requests of this host that use an adapter. */
	getAdapterUses(): readonly AdapterUse[] {
		const uses: AdapterUse[] = [];
		for (const [id, {ownAdapters}] of this.targets) {
			for (const {model, adapter, count} of ownAdapters.values()) {
				uses.push([id, model, adapter, count]);
			}
		}

		return uses;
	}

	/** Notes an adapter that an engine holds now; the next update of the registry tells the same. */
	addAdapter(targetId: string, model: string, adapter: string): void {
		const target = this.targets.get(targetId);
		const held = target?.registration.models.find(({name}) => name === model);
		if (target && held && !held.adapters.includes(adapter)) {
			const models = target.registration.models.map(other => other === held ? {...held, adapters: [...held.adapters, adapter]} : other);
			target.registration = {...target.registration, models};
			this.changed.notify();
		}
	}

	choose(need: TargetRequirements): TargetChoice {
		return chooseTarget(this.getCandidates(need));
	}

	/** Takes a place at a chosen target. */
	acquireSlot(targetId: string, {model, adapter, parts}: TargetRequirements): AcquiredSlot | undefined {
		const target = this.targets.get(targetId);
		if (!target) {
			return undefined;
		}

		const outstanding = target.own + target.others;
		target.own += 1;
		countAdapter(target, model, adapter, 1);
		this.countColdSend(target);
		if (model !== undefined) {
			this.kept.record(targetId, model, parts);
		}

		let hasEnded = false;
		return {
			registration: target.registration,
			outstanding,
			updateOutstanding(count) {
				target.others = Math.max(0, count - target.own);
			},
			release: end => {
				if (hasEnded) {
					return;
				}

				hasEnded = true;
				target.own -= 1;
				countAdapter(target, model, adapter, -1);
				this.noteEnd(target, end);

				this.changed.notify();
			},
		};
	}

	/** A target without power or behind a cut costs each request a timeout, so it is left alone for longer each time. */
	private noteEnd(target: Target, end: TargetOutcome): void {
		this.noteZone(target.registration, end);
		target.unreachableCount = end === 'unreachable' ? target.unreachableCount + 1 : 0;
		this.noteFailure(target, end);
		if (end === 'broke-off' || end === 'unreachable') {
			const factor = 2 ** Math.max(0, target.unreachableCount - 1);
			target.suspectUntilMs = this.opts.clock.now() + Math.min(SUSPECT_MS * factor, MAX_SUSPECT_MS);
		}
	}

	/** Targets that cannot be reached are left alone by suspicion; failures are for those that go on answering. */
	private noteFailure(target: Target, end: TargetOutcome): void {
		if (end !== 'unreachable') {
			const failures = this.getFailures(target);
			target.failures = end === 'answered' ? failures * SUCCESS_DECAY_RATIO : failures + 1;
			target.failuresMs = this.opts.clock.now();
		}
	}

	private getFailures({failures, failuresMs}: Target): number {
		return failures * Math.exp((failuresMs - this.opts.clock.now()) / FAILURE_DECAY_MS);
	}

	/** Several unreachable targets of a zone mean that the way there is cut; the first answer from it ends that. */
	private noteZone({targetId, zone}: Registration, end: TargetOutcome): void {
		if (end === 'unreachable') {
			const known = this.unreachable.get(zone)?.targetIds ?? [];
			this.unreachable.set(zone, {targetIds: new Set([...known, targetId]), seenMs: this.opts.clock.now()});
		} else {
			this.unreachable.delete(zone);
		}
	}

	private isZoneSuspect(zone: string): boolean {
		const {targetIds, seenMs} = this.unreachable.get(zone) ?? {targetIds: new Set(), seenMs: 0};
		return targetIds.size >= SUSPECT_ZONE_MIN_TARGETS && this.opts.clock.now() - seenMs < SUSPECT_MS;
	}

	private getCandidates(need: TargetRequirements): readonly TargetCandidate[] {
		this.index ??= createIndex(this.targets.values());
		const candidates: TargetCandidate[] = [];
		for (const target of this.index.get(getModelKey(need.service, need.model)) ?? []) {
			const {targetId, isLeaving, zone, models} = target.registration;
			if (!isLeaving && !this.zonesOut.has(zone) && !need.tried.has(targetId)) {
				const held = need.model === undefined ? undefined : models.find(({name}) => name === need.model);
				candidates.push(this.describe(target, need, held?.adapters));
			}
		}

		return candidates;
	}

	private describe(target: Target, {service, model, adapter, parts}: TargetRequirements, adapters: readonly string[] | undefined): TargetCandidate {
		const {registration: {targetId, zone, slots}, own, others} = target;
		const batchSlots = this.opts.getBatchSlots(service);
		const hasAdapter = adapter === undefined || (adapters?.includes(adapter) ?? false);
		return {
			targetId,
			isSameZone: zone === this.opts.zone,
			isSuspected: target.suspectUntilMs > this.opts.clock.now() || this.isZoneSuspect(zone),
			failures: this.getFailures(target),
			hasAdapter,
			outstanding: own + others,
			slots: batchSlots ?? Math.ceil(slots * (1 + QUEUED_PER_SLOT)),
			isCold: this.opts.clock.now() < target.coldUntilMs,
			hasColdCapacity: this.mayTakeCold(target),
			// A target without the adapter is not weighed against others.
			cachedTokens: model === undefined || !hasAdapter ? 0 : this.kept.countTokens(targetId, model, parts),
		};
	}

	private mayTakeCold(target: Target): boolean {
		const nowMs = this.opts.clock.now();
		const rate = this.opts.getColdRate(target.registration.service);
		return nowMs >= target.coldUntilMs || rate <= 0 || getRecent(target.coldSends, nowMs).length < Math.max(1, Math.floor(rate));
	}

	private countColdSend(target: Target): void {
		const nowMs = this.opts.clock.now();
		target.coldSends = nowMs < target.coldUntilMs ? [...getRecent(target.coldSends, nowMs), nowMs] : [];
	}

	private put(registration: Registration, coldUntilMs: number): void {
		this.index = undefined;
		const known = this.targets.get(registration.targetId);
		if (known?.registration.startedAtMs === registration.startedAtMs) {
			known.registration = registration;
			known.coldUntilMs = coldUntilMs;
			return;
		}

		this.kept.removeTarget(registration.targetId);
		this.targets.set(registration.targetId, {
			registration, coldUntilMs, own: 0, ownAdapters: new Map(), others: 0, suspectUntilMs: 0, failures: 0, failuresMs: 0, unreachableCount: 0, coldSends: [],
		});
	}

	private drop(ids: readonly string[]): void {
		this.index = undefined;
		for (const id of ids) {
			this.targets.delete(id);
			this.kept.removeTarget(id);
		}
	}
}
