import {type Clock, DecayingCounts} from '@egretrill/common';
import {
	FIGURES_CACHE_MS, FLEET_FIGURES_TTL_MS, FLEET_SLOT_TIME_CONSTANT_MS, MAX_SHORTAGE_MODELS,
} from '../constants.js';
import {
	getQueueKey, type KindCounts, type QueueReport, type ShortageFigures,
} from './shortage-figures.js';

const MS_PER_SECOND = 1000;

type HostReport = {readonly waiting: QueueReport['waiting']; readonly reportedMs: number};
type ModelSums = {readonly service: string; readonly model: string; readonly kinds: Map<string, KindCounts>};

/**
 * Sums what waits and arrives on all entry hosts and the slots that become free, by model. Answers shortages in which each host sees only a few of these slots.
 * The sums are updated incrementally, as adding up all hosts at each report would take time quadratic in their number.
 */
export class ShortageOwner {
	/** Ordered by the time of the last report, oldest first. */
	private readonly hosts = new Map<string, HostReport>();
	private readonly sums = new Map<string, ModelSums>();
	private readonly slots: DecayingCounts;
	private readonly arrivals: DecayingCounts;
	private readonly startedMs: number;
	private figures: ShortageFigures = [];
	private figuresMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly clock: Clock) {
		this.slots = new DecayingCounts(clock, FLEET_SLOT_TIME_CONSTANT_MS);
		this.arrivals = new DecayingCounts(clock, FLEET_SLOT_TIME_CONSTANT_MS);
		this.startedMs = clock.now();
	}

	/** Replaces what waits at a host and adds the slots that it got; a host of an earlier build reports nothing. */
	report(hostId: string, report: QueueReport | undefined): void {
		const {waiting, slots} = report ?? {waiting: [], slots: []};
		this.removeHost(hostId);
		this.hosts.set(hostId, {waiting, reportedMs: this.clock.now()});
		this.addToSums(waiting, 1);
		this.recordArrivals(waiting);
		for (const [service, model, count] of slots) {
			this.slots.add(getQueueKey(service, model), count);
		}
	}

	/** Figures of the models for which something waits on any host; computed once for the polls of a short time. */
	getFigures(): ShortageFigures {
		if (this.clock.now() - this.figuresMs >= FIGURES_CACHE_MS) {
			this.figures = this.computeFigures();
			this.figuresMs = this.clock.now();
		}

		return this.figures;
	}

	private computeFigures(): ShortageFigures {
		this.removeExpired();
		return [...this.sums].slice(0, MAX_SHORTAGE_MODELS).map(([key, {service, model, kinds}]) => [service, model, this.getPerSecond(this.slots, key), this.addArrivals(key, kinds)]);
	}

	private addArrivals(key: string, kinds: ModelSums['kinds']): KindCounts[] {
		return [...kinds].map(([kindKey, [priority, latencyMs, waiting, returning]]) => [priority, latencyMs, waiting, returning, this.getPerSecond(this.arrivals, `${key}\n${kindKey}`)]);
	}

	private recordArrivals(waiting: QueueReport['waiting']): void {
		for (const [service, model, kinds] of waiting) {
			for (const kind of kinds) {
				const [priority, latencyMs] = kind;
				const arrived = kind[4];
				if (arrived > 0) {
					this.arrivals.add(`${getQueueKey(service, model)}\n${getKindKey(priority, latencyMs)}`, arrived);
				}
			}
		}
	}

	private getPerSecond(counts: DecayingCounts, key: string): number {
		const spanMs = Math.min(FLEET_SLOT_TIME_CONSTANT_MS, Math.max(1, this.clock.now() - this.startedMs));
		return Math.round(counts.get(key) * MS_PER_SECOND * 100 / spanMs) / 100;
	}

	private removeExpired(): void {
		const oldestMs = this.clock.now() - FLEET_FIGURES_TTL_MS;
		for (const [hostId, {reportedMs}] of this.hosts) {
			if (reportedMs >= oldestMs) {
				break;
			}

			this.removeHost(hostId);
		}
	}

	private removeHost(hostId: string): void {
		const known = this.hosts.get(hostId);
		if (known) {
			this.addToSums(known.waiting, -1);
			this.hosts.delete(hostId);
		}
	}

	private addToSums(waiting: QueueReport['waiting'], sign: 1 | -1): void {
		for (const [service, model, kinds] of waiting) {
			const key = getQueueKey(service, model);
			const sums = this.sums.get(key) ?? {service, model, kinds: new Map<string, KindCounts>()};
			this.sums.set(key, sums);
			for (const kind of kinds) {
				addKind(sums.kinds, kind, sign);
			}

			if (sums.kinds.size === 0) {
				this.sums.delete(key);
			}
		}
	}
}

function getKindKey(priority: number, latencyMs: number): string {
	return `${priority} ${latencyMs}`;
}

function addKind(kinds: Map<string, KindCounts>, [priority, latencyMs, waiting, returning]: KindCounts, sign: 1 | -1): void {
	const key = getKindKey(priority, latencyMs);
	const known = kinds.get(key) ?? [priority, latencyMs, 0, 0, 0];
	const sum: KindCounts = [priority, latencyMs, known[2] + (sign * waiting), known[3] + (sign * returning), 0];
	if (sum[2] > 0 || sum[3] > 0) {
		kinds.set(key, sum);
	} else {
		kinds.delete(key);
	}
}
