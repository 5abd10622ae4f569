import {type Clock, DecayingCounts} from '@egretrill/common';
import {
	FIGURES_CACHE_MS, FLEET_FIGURES_TTL_MS, FLEET_SLOT_TIME_CONSTANT_MS, MAX_MODEL_KINDS, MAX_SHORTAGE_MODELS,
} from '../constants.js';
import {getKindKey, KindArrivals} from './kind-arrivals.js';
import {
	getQueueKey, type KindCounts, type QueueReport, type ShortageFigures,
} from './shortage-figures.js';

const MS_PER_SECOND = 1000;

/** Counts of slots below this have decayed; they are forgotten. */
const MIN_SLOT_COUNT = 0.01;

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
	private readonly arrivals: KindArrivals;
	private readonly startedMs: number;
	private figures: ShortageFigures = [];
	private figuresMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly clock: Clock) {
		this.slots = new DecayingCounts(clock, FLEET_SLOT_TIME_CONSTANT_MS);
		this.arrivals = new KindArrivals(clock);
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
		this.arrivals.removeDecayed();
		this.slots.removeBelow(MIN_SLOT_COUNT);
		const inShortage = [...this.sums].filter(([, {kinds}]) => [...kinds.values()].some(kind => kind[2] > 0));
		return inShortage.slice(0, MAX_SHORTAGE_MODELS).map(([key, {service, model, kinds}]) => [service, model, this.toPerSecond(this.slots.get(key)), this.addArrivals(key, kinds)]);
	}

	/** Counts of all kinds that wait, are expected back or arrive; the slots that urgent ones take are missing for the others, even if none of them waits. */
	private addArrivals(key: string, kinds: ModelSums['kinds']): KindCounts[] {
		const all = new Map(kinds);
		for (const [kindKey, {priority, targetLatencyMs}] of this.arrivals.list(key)) {
			if (!all.has(kindKey)) {
				all.set(kindKey, [priority, targetLatencyMs, 0, 0, 0]);
			}
		}

		return [...all].slice(0, MAX_MODEL_KINDS).map(([kindKey, [priority, latencyMs, waiting, returning]]) => [priority, latencyMs, waiting, returning, this.toPerSecond(this.arrivals.get(key, kindKey))]);
	}

	private recordArrivals(waiting: QueueReport['waiting']): void {
		for (const [service, model, kinds] of waiting) {
			for (const kind of kinds) {
				const [priority, targetLatencyMs] = kind;
				this.arrivals.add(getQueueKey(service, model), {priority, targetLatencyMs}, kind[4]);
			}
		}
	}

	private toPerSecond(count: number): number {
		const spanMs = Math.min(FLEET_SLOT_TIME_CONSTANT_MS, Math.max(1, this.clock.now() - this.startedMs));
		return Math.round(count * MS_PER_SECOND * 100 / spanMs) / 100;
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

function addKind(kinds: Map<string, KindCounts>, [priority, latencyMs, waiting, returning]: KindCounts, sign: 1 | -1): void {
	const key = getKindKey({priority, targetLatencyMs: latencyMs});
	const known = kinds.get(key) ?? [priority, latencyMs, 0, 0, 0];
	const sum: KindCounts = [priority, latencyMs, known[2] + (sign * waiting), known[3] + (sign * returning), 0];
	if (sum[2] > 0 || sum[3] > 0) {
		kinds.set(key, sum);
	} else {
		kinds.delete(key);
	}
}
