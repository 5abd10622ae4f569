import {
	type Clock, countRegistrationValues, type HeldModel, type Registration, Signal,
} from '@egretrill/common';
import {type AddressClaim, chooseHolder, getSteadySinceMs} from './address-claims.js';
import {chooseDropped, getRank, type KeptTarget} from './choose-dropped.js';
import {
	ADDRESS_PROOF_MS, DROPPED_TARGETS, ENDED_RETENTION_MS, FULL_CHECK_INTERVAL_MS, MAX_REGISTRY_VALUES, MAX_TARGETS, MODELS_OVERRIDE_MS, REGISTRATION_TTL_MS,
} from './constants.js';
import {judgeSequence, type SequenceRun, type SequenceVerdict} from './sequence-run.js';
import type {RegisteredTarget, RegistryUpdate} from './types.js';

type Entry = {
	readonly registration: Registration;
	readonly receivedMs: number;
	readonly hasEnded: boolean;
	/** Whether another target has the address; this one then takes no requests, and goes on registering. */
	readonly isWaiting: boolean;
	/** Position among the targets in the order of their first registration at their address. */
	readonly claimOrder: number;
	readonly steadySinceMs: number;
	/** Largest growth of the sequence between two registrations; unknown after the first. */
	readonly sequenceStep?: number | undefined;
	/** Registrations of the same lifetime that do not count, since their sequences are out of line. */
	readonly rival?: SequenceRun | undefined;
	/** Revision of the last change that must be sent to other hosts. */
	readonly revision: number;
	/** Revision of the last registration, for control hosts that track its age. */
	readonly heartbeatRevision: number;
	/** Whether other hosts were notified that the registration expired. */
	readonly isSilent?: boolean;
	/** Models after an order, which replace the registered ones until a registration arrives after this time. */
	readonly modelsOverride?: {readonly models: readonly HeldModel[]; readonly untilMs: number};
};

type EntryState = Omit<Entry, 'revision' | 'heartbeatRevision'>;

function isSameState(first: Registration, second: Registration): boolean {
	const {sequence: _first, orderCount: _firstCount, coldForMs: firstCold, leavesInMs: firstLeave, ...rest} = first;
	const {sequence: _second, orderCount: _secondCount, coldForMs: secondCold, leavesInMs: secondLeave, ...other} = second;
	return (firstCold > 0) === (secondCold > 0) && (firstLeave === undefined) === (secondLeave === undefined) && JSON.stringify(rest) === JSON.stringify(other);
}

function toClaim({registration: {targetId, startedAtMs, isLeaving}, claimOrder, steadySinceMs, receivedMs}: Entry): AddressClaim {
	return {
		targetId, startedAtMs, isLeaving, order: claimOrder, steadySinceMs, receivedMs,
	};
}

/** The registered targets, merged from the registrations that each control host received. */
export class TargetRegistry {
	/** Notified when a change must be sent to other hosts. */
	readonly changed = new Signal();
	private readonly entries = new Map<string, Entry>();
	/** Ids of the targets at each address, so that a registration is not compared with all others. */
	private readonly idsByAddress = new Map<string, Set<string>>();
	private claimCount = 0;
	private revision = 0;
	/** Revision of the last change that must be sent to other hosts. */
	private changedRevision = 0;

	/** Whether room was looked for in vain a moment ago, for targets up to a rank. */
	private full = {rank: 0, untilMs: 0};
	/** A host that follows an earlier revision may use a target that was dropped since; it gets all targets. */
	private droppedRevision = 0;
	/** Number of values in all registrations. */
	private values = 0;

	/**
	 * `isServiceNamed`: whether the configuration names a service; targets of other services are dropped first when the registry is full. `hasLeft`: whether the
	 * process of a registration is known to have left, also if the registry does not know it.
	 */
	constructor(
		private readonly clock: Clock,
		private readonly origin: string,
		private readonly isServiceNamed: (service: string) => boolean = () => true,
		private readonly hasLeft: (registration: Registration) => boolean = () => false,
	) {}

	/** Stores a registration; returns false if it is outdated, of a process that has left, or new while the registry is full. */
	accept(registration: Registration, ageMs = 0): boolean {
		if (this.hasLeft(registration)) {
			return false;
		}

		const receivedMs = this.clock.now() - ageMs;
		const stored = this.entries.get(registration.targetId);
		const verdict: SequenceVerdict = stored ? this.judge(registration, receivedMs, stored) : {isNext: true, step: undefined};
		if (!verdict.isNext) {
			this.recordRival(registration.targetId, verdict.rival);
			return false;
		}

		if (!this.makeRoom(registration, receivedMs, stored)) {
			return false;
		}

		this.storeRegistration(registration, {receivedMs, sequenceStep: verdict.step}, stored);
		this.assignAddress(registration.address);
		return true;
	}

	/** Marks a target as ended after it has left; does nothing for a process that started after `startedAtMs`. */
	markEnded(targetId: string, startedAtMs = Infinity): void {
		const stored = this.entries.get(targetId);
		if (stored && !stored.hasEnded && stored.registration.startedAtMs <= startedAtMs) {
			this.store({...stored, hasEnded: true, receivedMs: this.clock.now()});
			this.assignAddress(stored.registration.address);
		}
	}

	/** Merges the registrations that another control host received. */
	merge(targets: readonly RegisteredTarget[]): void {
		for (const {registration, ageMs, hasEnded} of targets) {
			this.accept(registration, ageMs);
			const stored = this.entries.get(registration.targetId);
			if (hasEnded && stored?.registration.startedAtMs === registration.startedAtMs) {
				this.markEnded(registration.targetId);
			}
		}
	}

	/** Uses the models from an order's answer until the registrations of the same process include the change; does nothing for another process with its id. */
	overrideModels({targetId, startedAtMs}: Pick<Registration, 'targetId' | 'startedAtMs'>, models: readonly HeldModel[]): void {
		const stored = this.entries.get(targetId);
		if (stored?.registration.startedAtMs === startedAtMs) {
			this.store({...stored, modelsOverride: {models, untilMs: this.clock.now() + MODELS_OVERRIDE_MS}});
		}
	}

	/** Notifies other hosts of expired registrations and assigns the addresses of silent targets; must be called several times a second. */
	sweep(): void {
		const oldestMs = this.clock.now() - REGISTRATION_TTL_MS;
		for (const entry of this.entries.values()) {
			if (!entry.hasEnded && !entry.isSilent && entry.receivedMs < oldestMs) {
				this.store({...entry, isSilent: true});
			}
		}

		for (const [address, ids] of this.idsByAddress) {
			if (ids.size > 1) {
				this.assignAddress(address);
			}
		}
	}

	/** Returns the changes since a revision, or all targets if the host followed another registry. */
	getUpdateSince(known: {readonly origin: string; readonly revision: number}, withHeartbeats: boolean): RegistryUpdate {
		this.dropOld(({hasEnded, isWaiting}) => hasEnded || isWaiting);
		const isWhole = known.origin !== this.origin || known.revision > this.revision || known.revision < this.droppedRevision;
		const since = isWhole ? 0 : known.revision;
		const changed = [...this.entries.values()].filter(entry => isWhole || Math.max(entry.revision, withHeartbeats ? entry.heartbeatRevision : 0) > since);
		return {
			origin: this.origin, revision: this.revision, isWhole, targets: withHeartbeats ? this.listForControlHosts(changed) : this.listForEntryHosts(changed),
		};
	}

	/** Whether a change since the revision must be sent to other hosts. */
	hasChangedSince(known: {readonly origin: string; readonly revision: number}): boolean {
		return known.origin !== this.origin || this.changedRevision > known.revision;
	}

	/** Revision of the last change that must be sent to other hosts. */
	getChangedRevision(): number {
		return this.changedRevision;
	}

	/** Returns the targets that registered recently and have not ended. */
	getLive(): readonly Registration[] {
		const oldestMs = this.clock.now() - REGISTRATION_TTL_MS;
		return [...this.entries.values()].filter(({hasEnded, isWaiting, receivedMs}) => !hasEnded && !isWaiting && receivedMs >= oldestMs).map(entry => this.toRegisteredTarget(entry).registration);
	}

	/** Returns the last registration of a target, without changes by later orders. */
	getRegistered(targetId: string): Registration | undefined {
		return this.entries.get(targetId)?.registration;
	}

	/** Returns the start time of a target that registered recently and has not ended, also of one that waits for its address. */
	getRunningStartMs(targetId: string): number | undefined {
		const entry = this.entries.get(targetId);
		const isRunning = entry && !entry.hasEnded && this.clock.now() - entry.receivedMs <= REGISTRATION_TTL_MS;
		return isRunning ? entry.registration.startedAtMs : undefined;
	}

	/** Returns the start time of a process that has left, for as long as the registry retains it. */
	getEndedStartMs(targetId: string): number | undefined {
		const entry = this.entries.get(targetId);
		return entry?.hasEnded ? entry.registration.startedAtMs : undefined;
	}

	/** Whether a registration says that a target leaves which is used on, since the registration was set aside. */
	ignoresLeaving({targetId, startedAtMs, isLeaving}: Registration): boolean {
		const used = this.get(targetId);
		return isLeaving && used?.startedAtMs === startedAtMs && !used.isLeaving;
	}

	/** Returns when the last registration of a target was received. */
	getReceivedMs(targetId: string): number | undefined {
		return this.entries.get(targetId)?.receivedMs;
	}

	get(targetId: string): Registration | undefined {
		const entry = this.entries.get(targetId);
		return entry && !entry.hasEnded && !entry.isWaiting ? this.toRegisteredTarget(entry).registration : undefined;
	}

	/** Decides whether a registration replaces the stored one of the same target. */
	private judge({startedAtMs, sequence}: Registration, receivedMs: number, stored: Entry): SequenceVerdict {
		const {registration: last, sequenceStep, rival} = stored;
		if (startedAtMs !== last.startedAtMs) {
			return startedAtMs > last.startedAtMs ? {isNext: true, step: undefined} : {isNext: false, rival};
		}

		return stored.hasEnded ? {isNext: false, rival} : judgeSequence(sequence, receivedMs, {sequence: last.sequence, step: sequenceStep, lastMs: stored.receivedMs}, rival);
	}

	private recordRival(targetId: string, rival: SequenceRun | undefined): void {
		const stored = this.entries.get(targetId);
		if (stored && stored.rival !== rival) {
			this.setEntry({...stored, rival});
		}
	}

	private storeRegistration(registration: Registration, {receivedMs, sequenceStep}: Pick<Entry, 'receivedMs' | 'sequenceStep'>, stored: Entry | undefined): void {
		const isSameProcess = stored?.registration.startedAtMs === registration.startedAtMs;
		const modelsOverride = isSameProcess && stored.modelsOverride && stored.modelsOverride.untilMs > receivedMs ? stored.modelsOverride : undefined;
		const entry = {
			registration, receivedMs, hasEnded: false, modelsOverride, sequenceStep, rival: undefined, ...this.createClaim(registration, receivedMs, stored),
		};
		const wasSilent = stored !== undefined && receivedMs - stored.receivedMs > REGISTRATION_TTL_MS;
		if (stored && !stored.hasEnded && !stored.isSilent && !wasSilent && isSameState(this.toRegisteredTarget(stored).registration, this.toRegisteredTarget({...stored, ...entry}).registration)) {
			this.revision += 1;
			this.setEntry({...stored, ...entry, heartbeatRevision: this.revision});
			return;
		}

		this.store(entry);
	}

	/** A target that names another address, or has ended, claims its address anew, after the others there. */
	private createClaim({targetId, address}: Registration, receivedMs: number, stored: Entry | undefined): Pick<Entry, 'isWaiting' | 'claimOrder' | 'steadySinceMs'> {
		const known = stored && !stored.hasEnded && stored.registration.address === address ? stored : undefined;
		if (known) {
			return {isWaiting: known.isWaiting, claimOrder: known.claimOrder, steadySinceMs: getSteadySinceMs(receivedMs, known)};
		}

		this.claimCount += 1;
		const isWaiting = this.getClaimants(address).some(entry => entry.registration.targetId !== targetId);
		return {isWaiting, claimOrder: this.claimCount, steadySinceMs: receivedMs};
	}

	private store(entry: EntryState): void {
		this.revision += 1;
		this.changedRevision = this.revision;
		this.setEntry({...entry, revision: this.revision, heartbeatRevision: this.revision});
		this.changed.notify();
	}

	private setEntry(entry: Entry): void {
		const {targetId, address} = entry.registration;
		const old = this.entries.get(targetId)?.registration;
		this.values += countRegistrationValues(entry.registration) - (old ? countRegistrationValues(old) : 0);
		const oldAddress = old?.address;
		if (oldAddress !== undefined && oldAddress !== address) {
			this.removeFromAddress(targetId, oldAddress);
			this.assignAddress(oldAddress);
		}

		this.entries.set(targetId, entry);
		const ids = this.idsByAddress.get(address) ?? new Set();
		this.idsByAddress.set(address, ids.add(targetId));
	}

	private removeFromAddress(targetId: string, address: string): void {
		const ids = this.idsByAddress.get(address);
		ids?.delete(targetId);
		if (ids?.size === 0) {
			this.idsByAddress.delete(address);
		}
	}

	/** Returns the targets at an address that have not ended. */
	private getClaimants(address: string): readonly Entry[] {
		const claimants: Entry[] = [];
		for (const id of this.idsByAddress.get(address) ?? []) {
			const entry = this.entries.get(id);
			if (entry && !entry.hasEnded) {
				claimants.push(entry);
			}
		}

		return claimants;
	}

	/** Lets one of the targets at an address take requests. */
	private assignAddress(address: string): void {
		const claimants = this.getClaimants(address);
		const holder = claimants.find(({isWaiting}) => !isWaiting);
		const chosenId = chooseHolder(claimants.map(entry => toClaim(entry)), holder?.registration.targetId, this.clock.now());
		for (const entry of claimants) {
			const isWaiting = entry.registration.targetId !== chosenId;
			if (entry.isWaiting !== isWaiting) {
				this.store({...entry, isWaiting});
			}
		}
	}

	/** Lists targets with those that wait for their address last, so that a host that has just started assigns the addresses in the same way. */
	private listForControlHosts(entries: readonly Entry[]): RegisteredTarget[] {
		const holders = entries.filter(({isWaiting}) => !isWaiting);
		const waiting = entries.filter(({isWaiting}) => isWaiting);
		return [...holders, ...waiting].map(entry => this.toRegisteredTarget(entry));
	}

	private listForEntryHosts(entries: readonly Entry[]): RegisteredTarget[] {
		return entries.map(entry => this.toRegisteredTarget({...entry, hasEnded: entry.hasEnded || entry.isWaiting}));
	}

	/** Whether a registration fits into an update; drops targets that are worth less to make room. */
	private makeRoom(registration: Registration, receivedMs: number, stored: Entry | undefined): boolean {
		const addedValues = countRegistrationValues(registration) - (stored ? countRegistrationValues(stored.registration) : 0);
		const hasRoom = (): boolean => this.entries.size + (stored ? 0 : 1) <= MAX_TARGETS && this.values + addedValues <= MAX_REGISTRY_VALUES;
		if (hasRoom()) {
			return true;
		}

		const nowMs = this.clock.now();
		const {isSteady, isWaiting} = stored ? this.toKeptTarget(stored) : {isSteady: false, isWaiting: false};
		const rank = getRank({
			isGone: nowMs - receivedMs > REGISTRATION_TTL_MS, isWaiting, isNamed: this.isServiceNamed(registration.service), isSteady,
		});
		if (nowMs < this.full.untilMs && rank <= this.full.rank) {
			return false;
		}

		this.dropOld(({hasEnded, isSilent}) => hasEnded || Boolean(isSilent));
		if (!hasRoom()) {
			this.dropLesser(rank, stored);
		}

		if (!hasRoom()) {
			this.full = {rank, untilMs: nowMs + FULL_CHECK_INTERVAL_MS};
		}

		return hasRoom();
	}

	private dropLesser(rank: number, kept: Entry | undefined): void {
		const others = [...this.entries.values()].filter(entry => entry !== kept).map(entry => this.toKeptTarget(entry));
		const dropped = chooseDropped(others, rank, DROPPED_TARGETS);
		for (const id of dropped) {
			this.remove(id);
		}

		if (dropped.length > 0) {
			this.revision += 1;
			this.changedRevision = this.revision;
			this.droppedRevision = this.revision;
			this.changed.notify();
		}
	}

	private toKeptTarget(entry: Entry): KeptTarget {
		const {registration: {targetId, service}, receivedMs, steadySinceMs, isWaiting, hasEnded} = entry;
		return {
			targetId,
			isGone: hasEnded || this.clock.now() - receivedMs > REGISTRATION_TTL_MS,
			isWaiting,
			isNamed: this.isServiceNamed(service),
			isSteady: receivedMs - steadySinceMs >= ADDRESS_PROOF_MS,
			receivedMs,
		};
	}

	private remove(id: string): void {
		const entry = this.entries.get(id);
		if (entry) {
			this.entries.delete(id);
			this.values -= countRegistrationValues(entry.registration);
			this.droppedRevision = Math.max(this.droppedRevision, entry.revision);
			this.removeFromAddress(id, entry.registration.address);
		}
	}

	/** Drops targets that other hosts have removed; a delayed registration would revive those that ended a short time ago. */
	private dropOld(isDroppable: (entry: Entry) => boolean): void {
		const oldestMs = this.clock.now() - ENDED_RETENTION_MS;
		for (const [id, entry] of this.entries) {
			if (isDroppable(entry) && entry.receivedMs < oldestMs) {
				this.remove(id);
			}
		}
	}

	private toRegisteredTarget({registration, modelsOverride, receivedMs, hasEnded}: Entry): RegisteredTarget {
		const nowMs = this.clock.now();
		const models = modelsOverride ? [...modelsOverride.models] : registration.models;
		return {registration: {...registration, models}, ageMs: nowMs - receivedMs, hasEnded};
	}
}
