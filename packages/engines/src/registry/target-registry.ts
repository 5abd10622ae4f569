import {
	type Clock, type HeldModel, type Registration, Signal,
} from '@egretrill/common';
import {
	ENDED_RETENTION_MS, MAX_TARGETS, MODELS_OVERRIDE_MS, REGISTRATION_TTL_MS,
} from './constants.js';
import type {RegisteredTarget, RegistryUpdate} from './types.js';

type Entry = {
	readonly registration: Registration;
	readonly receivedMs: number;
	readonly hasEnded: boolean;
	/** Revision of the last change that must be sent to other hosts. */
	readonly revision: number;
	/** Revision of the last registration, for control hosts that track its age. */
	readonly heartbeatRevision: number;
	/** Whether other hosts were notified that the registration expired. */
	readonly isSilent?: boolean;
	/** Models after an order, which replace the registered ones until a registration arrives after this time. */
	readonly modelsOverride?: {readonly models: readonly HeldModel[]; readonly untilMs: number};
};

/** Whether a registration is newer than the stored one of the same target. */
export function isNewerRegistration(registration: Registration, stored: Registration): boolean {
	return registration.startedAtMs === stored.startedAtMs ? registration.sequence > stored.sequence : registration.startedAtMs > stored.startedAtMs;
}

function isSameState(first: Registration, second: Registration): boolean {
	const {sequence: _first, orderCount: _firstCount, coldForMs: firstCold, ...rest} = first;
	const {sequence: _second, orderCount: _secondCount, coldForMs: secondCold, ...other} = second;
	return (firstCold > 0) === (secondCold > 0) && JSON.stringify(rest) === JSON.stringify(other);
}

/** The registered targets, merged from the registrations that each control host received. */
export class TargetRegistry {
	/** Notified when a change must be sent to other hosts. */
	readonly changed = new Signal();
	private readonly entries = new Map<string, Entry>();
	/** Ids of the targets at each address, so that a registration is not compared with all others. */
	private readonly idsByAddress = new Map<string, Set<string>>();
	private revision = 0;
	/** Revision of the last change that must be sent to other hosts. */
	private changedRevision = 0;

	constructor(private readonly clock: Clock, private readonly origin: string) {}

	/** Stores a registration; returns false if it is outdated, or new while the registry is full. */
	accept(registration: Registration, ageMs = 0): boolean {
		const stored = this.entries.get(registration.targetId);
		if (stored && (!isNewerRegistration(registration, stored.registration) || (stored.hasEnded && registration.startedAtMs === stored.registration.startedAtMs))) {
			return false;
		}

		if (this.isAddressTaken(registration) || (!stored && !this.hasRoom())) {
			return false;
		}

		this.endOthersAtAddress(registration);
		this.storeRegistration(registration, this.clock.now() - ageMs, stored);
		return true;
	}

	/** Marks a target as ended after it has left. */
	markEnded(targetId: string): void {
		const stored = this.entries.get(targetId);
		if (stored && !stored.hasEnded) {
			this.store({...stored, hasEnded: true, receivedMs: this.clock.now()});
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

	/** Uses the models from an order's answer until the engine's registrations include the change. */
	overrideModels(targetId: string, models: readonly HeldModel[]): void {
		const stored = this.entries.get(targetId);
		if (stored) {
			this.store({...stored, modelsOverride: {models, untilMs: this.clock.now() + MODELS_OVERRIDE_MS}});
		}
	}

	/** Notifies other hosts of expired registrations; must be called several times a second. */
	sweep(): void {
		const oldestMs = this.clock.now() - REGISTRATION_TTL_MS;
		for (const entry of this.entries.values()) {
			if (!entry.hasEnded && !entry.isSilent && entry.receivedMs < oldestMs) {
				this.store({...entry, isSilent: true});
			}
		}
	}

	/** Returns the changes since a revision, or all targets if the host followed another registry. */
	getUpdateSince(known: {readonly origin: string; readonly revision: number}, withHeartbeats: boolean): RegistryUpdate {
		this.dropOld(({hasEnded}) => hasEnded);
		const isWhole = known.origin !== this.origin || known.revision > this.revision;
		const since = isWhole ? 0 : known.revision;
		const changed = [...this.entries.values()].filter(entry => isWhole || Math.max(entry.revision, withHeartbeats ? entry.heartbeatRevision : 0) > since);
		return {
			origin: this.origin, revision: this.revision, isWhole, targets: changed.map(entry => this.toRegisteredTarget(entry)),
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
		return [...this.entries.values()].filter(({hasEnded, receivedMs}) => !hasEnded && receivedMs >= oldestMs).map(entry => this.toRegisteredTarget(entry).registration);
	}

	/** Returns the last registration of a target, without changes by later orders. */
	getRegistered(targetId: string): Registration | undefined {
		return this.entries.get(targetId)?.registration;
	}

	/** Returns when the last registration of a target was received. */
	getReceivedMs(targetId: string): number | undefined {
		return this.entries.get(targetId)?.receivedMs;
	}

	get(targetId: string): Registration | undefined {
		const entry = this.entries.get(targetId);
		return entry && !entry.hasEnded ? this.toRegisteredTarget(entry).registration : undefined;
	}

	private storeRegistration(registration: Registration, receivedMs: number, stored: Entry | undefined): void {
		const isSameProcess = stored?.registration.startedAtMs === registration.startedAtMs;
		const modelsOverride = isSameProcess && stored.modelsOverride && stored.modelsOverride.untilMs > receivedMs ? stored.modelsOverride : undefined;
		const entry = {
			registration, receivedMs, hasEnded: false, modelsOverride,
		};
		const wasSilent = stored !== undefined && receivedMs - stored.receivedMs > REGISTRATION_TTL_MS;
		if (stored && !stored.hasEnded && !wasSilent && isSameState(this.toRegisteredTarget(stored).registration, this.toRegisteredTarget({...stored, ...entry}).registration)) {
			this.revision += 1;
			this.setEntry({...stored, ...entry, heartbeatRevision: this.revision});
			return;
		}

		this.store(entry);
	}

	private store(entry: Omit<Entry, 'revision' | 'heartbeatRevision'>): void {
		this.revision += 1;
		this.changedRevision = this.revision;
		this.setEntry({...entry, revision: this.revision, heartbeatRevision: this.revision});
		this.changed.notify();
	}

	private setEntry(entry: Entry): void {
		const {targetId, address} = entry.registration;
		const oldAddress = this.entries.get(targetId)?.registration.address;
		if (oldAddress !== undefined && oldAddress !== address) {
			this.removeFromAddress(targetId, oldAddress);
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

	/** Returns the other targets at the address of a registration that have not ended. */
	private getOthersAtAddress({targetId, address}: Registration): readonly Registration[] {
		const others: Registration[] = [];
		for (const id of this.idsByAddress.get(address) ?? []) {
			const entry = this.entries.get(id);
			if (entry && !entry.hasEnded && id !== targetId) {
				others.push(entry.registration);
			}
		}

		return others;
	}

	/** Whether a process that started later uses the address; a delayed registration may name such an address. */
	private isAddressTaken(registration: Registration): boolean {
		return this.getOthersAtAddress(registration).some(({startedAtMs}) => startedAtMs > registration.startedAtMs);
	}

	private endOthersAtAddress(registration: Registration): void {
		for (const {targetId} of this.getOthersAtAddress(registration)) {
			this.markEnded(targetId);
		}
	}

	/** Whether a further target fits into an update; drops silent targets to make room. */
	private hasRoom(): boolean {
		if (this.entries.size >= MAX_TARGETS) {
			this.dropOld(({hasEnded, isSilent}) => hasEnded || Boolean(isSilent));
		}

		return this.entries.size < MAX_TARGETS;
	}

	/** Drops targets that other hosts have removed; a delayed registration would revive those that ended a short time ago. */
	private dropOld(isDroppable: (entry: Entry) => boolean): void {
		const oldestMs = this.clock.now() - ENDED_RETENTION_MS;
		for (const [id, entry] of this.entries) {
			if (isDroppable(entry) && entry.receivedMs < oldestMs) {
				this.entries.delete(id);
				this.removeFromAddress(id, entry.registration.address);
			}
		}
	}

	private toRegisteredTarget({registration, modelsOverride, receivedMs, hasEnded}: Entry): RegisteredTarget {
		const nowMs = this.clock.now();
		const models = modelsOverride ? [...modelsOverride.models] : registration.models;
		return {registration: {...registration, models}, ageMs: nowMs - receivedMs, hasEnded};
	}
}
