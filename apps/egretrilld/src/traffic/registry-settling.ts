import type {Clock} from '@egretrill/common';
import type {TargetRegistry} from '@egretrill/engines';
import {REGISTRY_SETTLE_MS} from './constants.js';
import type {SyncResponse} from './methods.js';

/** Tells when a control host that has just started knows what the others know of targets: which ones run, and which ones have left. */
export class RegistrySettling {
	private readonly startedMs: number;
	private hasExchanged = false;

	constructor(private readonly clock: Clock) {
		this.startedMs = clock.now();
	}

	/** Records that the registrations of another control host were merged. */
	recordExchange(isPeerSettled: boolean): void {
		this.hasExchanged ||= isPeerSettled;
	}

	/** A host without settled peers counts as settled once each running target has registered. */
	isSettled(): boolean {
		return this.hasExchanged || this.clock.now() - this.startedMs >= REGISTRY_SETTLE_MS;
	}
}

/** The changes of the targets for an entry host. Until the registry is settled there are none, so that the host goes on with the targets that it knows. */
export function getServedTargets(registry: Pick<TargetRegistry, 'getUpdateSince'>, settling: RegistrySettling, known: {readonly origin: string; readonly revision: number}): SyncResponse['registry'] {
	return settling.isSettled() ? registry.getUpdateSince(known, false) : {...known, isWhole: false, targets: []};
}
