import type {TargetRegistry} from '@egretrill/engines';
import type {ControlPeers} from '@egretrill/hosts';
import {DEPARTURE_TIMEOUT_MS} from './constants.js';
import type {DepartureLog} from './departure-log.js';
import {departMethod} from './methods.js';

/** A process of a target that has left, or a question for the one that is known if there is no start time. */
export type Departure = {readonly targetId: string; readonly startedAtMs?: number | undefined};

export type DeparturesOptions = {
	readonly peers: Pick<ControlPeers, 'call' | 'getOthers'>;
	readonly registry: Pick<TargetRegistry, 'getEndedStartMs' | 'getRunningStartMs' | 'markEnded'>;
	readonly departureLog: Pick<DepartureLog, 'record'>;
};

/**
 * Tells the other control hosts and the log at once that a target has left: this host may end before its next exchange of registrations, and all of them may
 * end together. A departure names the start of the process, so that one that arrives late does not end the next process with the same id.
 */
export class Departures {
	constructor(private readonly opts: DeparturesOptions) {}

	/**
	 * Ends a target here and at the other control hosts. Resolves when all of them and the log have answered or their time is over; returns whether any host knew
	 * the target. A target that this host does not know is ended only while the signal of the caller's end has not aborted.
	 */
	async announce(targetId: string, callerGone: AbortSignal): Promise<boolean> {
		const {departureLog, registry} = this.opts;
		const knownMs = registry.getRunningStartMs(targetId);
		registry.markEnded(targetId);
		// Without its caller, the call may have waited in a suspended host, and the other hosts know the next process.
		const runningMs = knownMs ?? await this.findStartMs(targetId, callerGone);
		// A target that is not acknowledged in time calls again, and its first call may have reached this host but not the log.
		const startedAtMs = runningMs ?? (callerGone.aborted ? undefined : registry.getEndedStartMs(targetId));
		if (startedAtMs !== undefined) {
			registry.markEnded(targetId, startedAtMs);
			await Promise.all([this.callOthers({targetId, startedAtMs}), departureLog.record(targetId, startedAtMs)]);
		}

		return startedAtMs !== undefined;
	}

	/** Handles the departure of a target that left at another control host. */
	handle({targetId, startedAtMs}: Departure): {startedAtMs?: number} {
		const knownMs = this.opts.registry.getRunningStartMs(targetId);
		if (startedAtMs !== undefined) {
			this.opts.registry.markEnded(targetId, startedAtMs);
		}

		return knownMs === undefined ? {} : {startedAtMs: knownMs};
	}

	/** Returns the latest start of a target that this host does not know, as the other control hosts know it; none once the signal aborts. */
	private async findStartMs(targetId: string, signal: AbortSignal): Promise<number | undefined> {
		const knownMs = await this.callOthers({targetId});
		return knownMs.length > 0 && !signal.aborted ? Math.max(...knownMs) : undefined;
	}

	private async callOthers(departure: Departure): Promise<readonly number[]> {
		const {peers} = this.opts;
		const answers = await Promise.all(peers.getOthers().map(async ({id}) => peers.call(id, departMethod, departure, DEPARTURE_TIMEOUT_MS)));
		return answers.flatMap(answer => answer.isOk && answer.value.startedAtMs !== undefined ? [answer.value.startedAtMs] : []);
	}
}
