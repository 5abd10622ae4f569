import type {Clock} from '@egretrill/common';
import type {TargetRegistry} from '@egretrill/engines';
import type {FleetNode} from '@egretrill/hosts';
import {DEPARTURES_WAIT_MS, REGISTRY_SETTLE_MS} from './constants.js';
import type {DepartureLog} from './departure-log.js';
import type {SyncResponse} from './methods.js';

/** Tells when a control host that has just started knows what the others know of targets: which ones run, and which ones have left. */
export class RegistrySettling {
	private readonly startedMs: number;
	private hasExchanged = false;
	/** Stays true when the leader is lost again. */
	private hasKnownDepartures = false;

	/** `knowsDepartures`: whether the host has applied what the log held of targets that have left. */
	constructor(private readonly clock: Clock, private readonly knowsDepartures: () => boolean) {
		this.startedMs = clock.now();
	}

	/** Records that the registrations of another control host were merged. */
	recordExchange(isPeerSettled: boolean): void {
		this.hasExchanged ||= isPeerSettled;
	}

	/** A host without settled peers counts as settled once each running target has registered and the log has told which ones have left. */
	isSettled(): boolean {
		const ageMs = this.clock.now() - this.startedMs;
		const knowsRunning = this.hasExchanged || ageMs >= REGISTRY_SETTLE_MS;
		this.hasKnownDepartures ||= this.knowsDepartures() || ageMs >= DEPARTURES_WAIT_MS;
		return knowsRunning && this.hasKnownDepartures;
	}
}

/**
 * Whether a member has heard a leader and applied the entries of its log that were there at its start. One that has lost its disk has none before the leader
 * sends them, and one that starts from a snapshot may lack later ones.
 */
export function hasAppliedLog(node: Pick<FleetNode, 'hasReplayed' | 'status'>): boolean {
	const {leaderId, appliedIndex} = node.status();
	return leaderId !== undefined && appliedIndex > 0 && node.hasReplayed();
}

export type ServedTargetsSource = {
	readonly registry: Pick<TargetRegistry, 'getUpdateSince' | 'markEnded'>;
	readonly settling: RegistrySettling;
	readonly departureLog: Pick<DepartureLog, 'endTargets'>;
};

/** The changes of the targets for an entry host. Until the registry is settled there are none, so that the host goes on with the targets that it knows. */
export function getServedTargets({registry, settling, departureLog}: ServedTargetsSource, known: {readonly origin: string; readonly revision: number}): SyncResponse['registry'] {
	departureLog.endTargets(registry);
	return settling.isSettled() ? registry.getUpdateSince(known, false) : {...known, isWhole: false, targets: []};
}
