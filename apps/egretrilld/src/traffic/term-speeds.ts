import type {Clock, Logger} from '@egretrill/common';
import {SpeedMerger, SpeedUpdates, type TargetSpeeds} from '@egretrill/engines';
import {SPEED_LOG_INTERVAL_MS} from './constants.js';
import {
	fromSpeedReport, type SpeedPlan, type SpeedReport, toSpeedPlan,
} from './speed-messages.js';

/** Speeds of targets that a leader merges from the reports of all entry hosts during its term. */
export class TermSpeeds {
	private readonly merger: SpeedMerger;
	private readonly updates = new SpeedUpdates();
	private publishedVersion = 0;
	private nextLogMs = 0;
	private loggedServices = '';

	constructor(private readonly clock: Clock, private readonly logger: Logger) {
		this.merger = new SpeedMerger(clock);
	}

	get speeds(): TargetSpeeds {
		return this.merger;
	}

	/** Merges what a host has observed; returns the speeds that it has not received, or undefined if it has all. */
	handleReport(report: SpeedReport): SpeedPlan | undefined {
		for (const [service, observations] of fromSpeedReport(report)) {
			this.merger.record(service, observations);
		}

		const version = this.merger.getVersion();
		if (version !== this.publishedVersion) {
			this.publishedVersion = version;
			this.updates.publish(this.merger.list());
			this.log();
		}

		const update = this.updates.getUpdate(report.known);
		return update && toSpeedPlan(update);
	}

	/** Logs the spread of each service's speeds when a service starts or stops to differ, and then from time to time. */
	private log(): void {
		const spreads = this.merger.listSpreads();
		const services = spreads.filter(({differs}) => differs).map(({service}) => service).join(' ');
		const nowMs = this.clock.now();
		if (services === this.loggedServices && (services === '' || nowMs < this.nextLogMs)) {
			return;
		}

		this.loggedServices = services;
		this.nextLogMs = nowMs + SPEED_LOG_INTERVAL_MS;
		const speeds = this.merger.list().map(({speed}) => speed);
		this.logger.info({
			services: spreads.map(({service, spread, differs, targetCount}) => ({
				service, spread: Number(spread.toFixed(2)), differs, targetCount,
			})),
			...(speeds.length > 0 && {slowest: Number(Math.min(...speeds).toFixed(2)), fastest: Number(Math.max(...speeds).toFixed(2))}),
		}, 'Speeds of targets.');
	}
}
