import {
	type Clock, type HeldModel, type Registration, Signal,
} from '@egretrill/common';
import {ENDED_RETENTION_MS, MODELS_OVERRIDE_MS, REGISTRATION_TTL_MS} from './constants.js';
import type {RegisteredTarget, RegistryUpdate} from './types.js';

type Entry = {
	readonly registration: Registration;
	readonly receivedMs: number;
	readonly hasEnded: boolean;
	/** Revision of the last change that other hosts must see. */
	readonly revision: number;
	/** Revision of the last registration, for control hosts that keep the age. */
	readonly heartbeatRevision: number;
	/** Whether hosts were told that the target is silent. */
	readonly isSilent?: boolean;
	/** Holdings that an order has changed since, until a registration arrives after this time. */
	readonly believed?: {readonly models: readonly HeldModel[]; readonly untilMs: number};
};

/** Whether a registration is newer than the one held of the same target. */
export function isNewerRegistration(registration: Registration, held: Registration): boolean {
	return registration.startedAtMs === held.startedAtMs ? registration.sequence > held.sequence : registration.startedAtMs > held.startedAtMs;
}

function isSameState(first: Registration, second: Registration): boolean {
	const {sequence: _first, orderCount: _firstCount, coldForMs: firstCold, ...rest} = first;
	const {sequence: _second, orderCount: _secondCount, coldForMs: secondCold, ...other} = second;
	return (firstCold > 0) === (secondCold > 0) && JSON.stringify(rest) === JSON.stringify(other);
}

/** The targets that have registered, merged from what each control host has heard. */
export class TargetRegistry {
	/** Notified when a change must reach other hosts. */
	readonly changed = new Signal();
	private readonly entries = new Map<string, Entry>();
	private revision = 0;
	/** Revision of the last change that other hosts must see. */
	private changedRevision = 0;

	constructor(private readonly clock: Clock, private readonly origin: string) {}

	/** Takes in a registration; returns false when a newer one is held. */
	accept(registration: Registration, ageMs = 0): boolean {
		const held = this.entries.get(registration.targetId);
		if (held && (!isNewerRegistration(registration, held.registration) || (held.hasEnded && registration.startedAtMs === held.registration.startedAtMs))) {
			return false;
		}

		if (this.isAddressTaken(registration)) {
			return false;
		}

		this.endOthersAt(registration);
		this.put(registration, this.clock.now() - ageMs, held);
		return true;
	}

	/** Notes that a target has left. */
	markEnded(targetId: string): void {
		const held = this.entries.get(targetId);
		if (held && !held.hasEnded) {
			this.store({...held, hasEnded: true, receivedMs: this.clock.now()});
		}
	}

	/** Takes over what another control host has heard. */
	merge(targets: readonly RegisteredTarget[]): void {
		for (const {registration, ageMs, hasEnded} of targets) {
			this.accept(registration, ageMs);
			const held = this.entries.get(registration.targetId);
			if (hasEnded && held?.registration.startedAtMs === registration.startedAtMs) {
				this.markEnded(registration.targetId);
			}
		}
	}

	/** Believes an order's answer about what an engine holds until its registrations show it. */
	overrideModels(targetId: string, models: readonly HeldModel[]): void {
		const held = this.entries.get(targetId);
		if (held) {
			this.store({...held, believed: {models, untilMs: this.clock.now() + MODELS_OVERRIDE_MS}});
		}
	}

	/** Tells hosts which targets have become silent; call it several times a second. */
	sweep(): void {
		const oldestMs = this.clock.now() - REGISTRATION_TTL_MS;
		for (const entry of this.entries.values()) {
			if (!entry.hasEnded && !entry.isSilent && entry.receivedMs < oldestMs) {
				this.store({...entry, isSilent: true});
			}
		}
	}

	/** Everything that changed after a revision; a host that followed another registry gets all. */
	getUpdateSince(known: {readonly origin: string; readonly revision: number}, withHeartbeats: boolean): RegistryUpdate {
		this.dropEnded();
		const isWhole = known.origin !== this.origin || known.revision > this.revision;
		const since = isWhole ? 0 : known.revision;
		const changed = [...this.entries.values()].filter(entry => isWhole || Math.max(entry.revision, withHeartbeats ? entry.heartbeatRevision : 0) > since);
		return {
			origin: this.origin, revision: this.revision, isWhole, targets: changed.map(entry => this.describe(entry)),
		};
	}

	/** Whether anything that other hosts must see changed after a revision. */
	hasChangedSince(known: {readonly origin: string; readonly revision: number}): boolean {
		return known.origin !== this.origin || this.changedRevision > known.revision;
	}

	/** Revision of the last change that other hosts must see. */
	getChangedRevision(): number {
		return this.changedRevision;
	}

	/** Targets that registered recently and have not ended. */
	getLive(): readonly Registration[] {
		const oldestMs = this.clock.now() - REGISTRATION_TTL_MS;
		return [...this.entries.values()].filter(({hasEnded, receivedMs}) => !hasEnded && receivedMs >= oldestMs).map(entry => this.describe(entry).registration);
	}

	/** What a target itself last said, without what orders have changed since. */
	getRegistered(targetId: string): Registration | undefined {
		return this.entries.get(targetId)?.registration;
	}

	/** When the last registration of a target was received. */
	getReceivedMs(targetId: string): number | undefined {
		return this.entries.get(targetId)?.receivedMs;
	}

	get(targetId: string): Registration | undefined {
		const entry = this.entries.get(targetId);
		return entry && !entry.hasEnded ? this.describe(entry).registration : undefined;
	}

	private put(registration: Registration, receivedMs: number, held: Entry | undefined): void {
		const isSameLife = held?.registration.startedAtMs === registration.startedAtMs;
		const believed = isSameLife && held.believed && held.believed.untilMs > receivedMs ? held.believed : undefined;
		const entry = {
			registration, receivedMs, hasEnded: false, believed,
		};
		const wasSilent = held !== undefined && receivedMs - held.receivedMs > REGISTRATION_TTL_MS;
		if (held && !held.hasEnded && !wasSilent && isSameState(this.describe(held).registration, this.describe({...held, ...entry}).registration)) {
			this.revision += 1;
			this.entries.set(registration.targetId, {...held, ...entry, heartbeatRevision: this.revision});
			return;
		}

		this.store(entry);
	}

	private store(entry: Omit<Entry, 'revision' | 'heartbeatRevision'>): void {
		this.revision += 1;
		this.changedRevision = this.revision;
		this.entries.set(entry.registration.targetId, {...entry, revision: this.revision, heartbeatRevision: this.revision});
		this.changed.notify();
	}

	/** A registration that was delayed may name an address at which a later process runs. */
	private isAddressTaken(registration: Registration): boolean {
		return [...this.entries.values()].some(({registration: other, hasEnded}) => !hasEnded && other.targetId !== registration.targetId
			&& other.address === registration.address && other.startedAtMs > registration.startedAtMs);
	}

	private endOthersAt(registration: Registration): void {
		for (const {registration: other, hasEnded} of this.entries.values()) {
			if (!hasEnded && other.targetId !== registration.targetId && other.address === registration.address) {
				this.markEnded(other.targetId);
			}
		}
	}

	private dropEnded(): void {
		const oldestMs = this.clock.now() - ENDED_RETENTION_MS;
		for (const [id, {hasEnded, receivedMs}] of this.entries) {
			if (hasEnded && receivedMs < oldestMs) {
				this.entries.delete(id);
			}
		}
	}

	private describe({registration, believed, receivedMs, hasEnded}: Entry): RegisteredTarget {
		const nowMs = this.clock.now();
		const models = believed ? [...believed.models] : registration.models;
		return {registration: {...registration, models}, ageMs: nowMs - receivedMs, hasEnded};
	}
}
