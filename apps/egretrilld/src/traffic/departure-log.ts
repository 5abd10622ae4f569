import type {Logger, Registration} from '@egretrill/common';
import type {TargetRegistry} from '@egretrill/engines';
import {
	DEPARTURE_RETENTION_MS, type FleetLog, type FleetState, type TargetDeparture,
} from '@egretrill/hosts';
import {DEPARTURE_RECORD_TIMEOUT_MS} from './constants.js';

export type DepartureLogOptions = {
	readonly log: Pick<FleetLog, 'propose'>;
	readonly state: Pick<FleetState, 'getDepartures'>;
	readonly logger: Logger;
	readonly getTimeOfDayMs: () => number;
};

/** The targets that have left as the replicated log knows them, so that a late registration revives none after all control hosts have restarted. */
export class DepartureLog {
	private endedDepartures: readonly TargetDeparture[] = [];
	private indexedDepartures: readonly TargetDeparture[] = [];
	private byTarget: ReadonlyMap<string, TargetDeparture> = new Map();

	constructor(private readonly opts: DepartureLogOptions) {}

	/** Records that a process has left. A target must not wait for a leader to be elected, so that this ends after a while without one. */
	async record(targetId: string, startedAtMs: number): Promise<void> {
		const {log, logger, getTimeOfDayMs} = this.opts;
		if (this.hasLeft({targetId, startedAtMs})) {
			return;
		}

		const outcome = await log.propose({kind: 'recordDeparture', departure: {targetId, startedAtMs, leftAtMs: getTimeOfDayMs()}}, DEPARTURE_RECORD_TIMEOUT_MS);
		if (outcome.kind !== 'committed') {
			logger.warn({targetId, startedAtMs, reason: outcome.reason}, 'The log did not confirm in time that a target has left.');
		}
	}

	/** Whether the process of a registration, or a later one of the same target, has left a short time ago. */
	hasLeft({targetId, startedAtMs}: Pick<Registration, 'targetId' | 'startedAtMs'>): boolean {
		const known = this.getByTarget().get(targetId);
		return known !== undefined && startedAtMs <= known.startedAtMs && this.opts.getTimeOfDayMs() - known.leftAtMs < DEPARTURE_RETENTION_MS;
	}

	/** Ends the targets of a registry whose departures the log has brought. */
	endTargets(registry: Pick<TargetRegistry, 'markEnded'>): void {
		const departures = this.opts.state.getDepartures();
		if (departures === this.endedDepartures) {
			return;
		}

		this.endedDepartures = departures;
		for (const departure of departures) {
			if (this.hasLeft(departure)) {
				registry.markEnded(departure.targetId, departure.startedAtMs);
			}
		}
	}

	/** Indexes the departures once for each change of the log. */
	private getByTarget(): ReadonlyMap<string, TargetDeparture> {
		const departures = this.opts.state.getDepartures();
		if (departures !== this.indexedDepartures) {
			this.indexedDepartures = departures;
			this.byTarget = new Map(departures.map(departure => [departure.targetId, departure]));
		}

		return this.byTarget;
	}
}
