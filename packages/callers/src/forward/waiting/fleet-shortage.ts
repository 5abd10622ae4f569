import type {Clock} from '@egretrill/common';
import {
	DEFAULT_RETRY_SPACING_MS, FLEET_FIGURES_TTL_MS, MAX_FIGURES_WINDOW_MS, MAX_REPORTED_MODELS, MIN_FIGURES_WINDOW_MS, RECENT_SHORTAGE_MS, REDRAW_WINDOWS, RETRY_SLOT_RATIO,
} from '../constants.js';
import {type BacklogEntry, countByKind} from './queue-report.js';
import {
	getQueueKey, isReportable, type KindCounts, type QueueReport, type ShortageFigures, splitQueueKey,
} from './shortage-figures.js';

const MS_PER_SECOND = 1000;

/** Kind of a request in its service, by which figures are kept. */
export type RequestKind = {readonly priority: number; readonly targetLatencyMs: number};

/** Requests of a kind and more urgent ones: waiting at the other hosts, arriving per second at all hosts, and the slots that become free on all hosts. */
export type FleetBacklog = {
	readonly urgent: number;
	readonly equal: number;
	readonly urgentPerSecond: number;
	readonly equalPerSecond: number;
	readonly slotsPerSecond: number;
	/** Time between two figures. */
	readonly windowMs: number;
};

type KindSums = Pick<FleetBacklog, 'urgent' | 'equal' | 'urgentPerSecond' | 'equalPerSecond'>;

type ModelFigures = {readonly slotsPerSecond: number; readonly kinds: readonly KindCounts[]; readonly own: readonly KindCounts[]};

/** Whether a kind goes before another one of its service: by priority, then by how soon it has to be answered. */
function isMoreUrgent([priority, latencyMs]: KindCounts, other: RequestKind): boolean {
	return priority < other.priority || (priority === other.priority && latencyMs < other.targetLatencyMs);
}

function isEqual([priority, latencyMs]: KindCounts, other: RequestKind): boolean {
	return priority === other.priority && latencyMs === other.targetLatencyMs;
}

function countBacklog(kinds: readonly KindCounts[], kind: RequestKind): KindSums {
	const sums = {
		urgent: 0, equal: 0, urgentPerSecond: 0, equalPerSecond: 0,
	};
	for (const entry of kinds) {
		if (isMoreUrgent(entry, kind)) {
			sums.urgent += entry[2];
			sums.urgentPerSecond += entry[4];
		} else if (isEqual(entry, kind)) {
			sums.equal += entry[2];
			sums.equalPerSecond += entry[4];
		}
	}

	return sums;
}

function countReturning(kinds: readonly KindCounts[]): number {
	let sum = 0;
	for (const entry of kinds) {
		sum += entry[3];
	}

	return sum;
}

/** What an entry host knows of the shortages on all hosts, from the leader. The figures expire without a leader, and then the host relies on its own slots. */
export class FleetShortage {
	private figures: ReadonlyMap<string, ModelFigures> = new Map();
	private appliedMs = Number.NEGATIVE_INFINITY;
	private windowMs = MIN_FIGURES_WINDOW_MS;
	/** Number and start of the window in which each request draws once. */
	private window = 0;
	private windowStartMs = Number.NEGATIVE_INFINITY;
	/** What this host reported last, which the next figures contain. */
	private reported: ReadonlyMap<string, readonly KindCounts[]> = new Map();
	private slots = new Map<string, number>();
	/** The last figures of each model that had some recently, and their time. */
	private readonly recent = new Map<string, ModelFigures & {readonly atMs: number}>();
	private arrivals = new Map<string, Map<RequestKind, number>>();

	constructor(private readonly clock: Clock) {}

	/** Counts a slot that a request of this host has freed. */
	recordFreed(key: string): void {
		if (isReportable(key)) {
			this.slots.set(key, (this.slots.get(key) ?? 0) + 1);
		}
	}

	/** Counts a request that needs a slot. */
	recordArrival(key: string, kind: RequestKind): void {
		let ofModel = this.arrivals.get(key);
		if (!ofModel) {
			ofModel = new Map();
			this.arrivals.set(key, ofModel);
		}

		ofModel.set(kind, (ofModel.get(kind) ?? 0) + 1);
	}

	/** Returns the report of the next poll, with the slots and arrivals since the last one. */
	createReport(waiting: Iterable<BacklogEntry>, returning: Iterable<BacklogEntry>): QueueReport {
		const slots = [...this.slots].slice(0, MAX_REPORTED_MODELS).map(([key, count]): [string, string, number] => {
			const [service = '', model = ''] = splitQueueKey(key);
			return [service, model, count];
		});
		const arrived = [...this.arrivals].flatMap(([queueKey, ofModel]) => [...ofModel].map(([kind, count]) => ({queueKey, kind, count})));
		const sent = countByKind({waiting, returning, arrived}).slice(0, MAX_REPORTED_MODELS);
		this.arrivals = new Map();
		this.slots = new Map();
		this.reported = new Map(sent.map(([service, model, kinds]) => [getQueueKey(service, model), kinds]));
		return {waiting: sent, slots};
	}

	/** Applies the leader's answer to the last report. */
	apply(figures: ShortageFigures): void {
		const nowMs = this.clock.now();
		this.windowMs = this.isFresh() ? Math.max(MIN_FIGURES_WINDOW_MS, Math.min(MAX_FIGURES_WINDOW_MS, nowMs - this.appliedMs)) : MIN_FIGURES_WINDOW_MS;
		this.appliedMs = nowMs;
		this.window += 1;
		this.windowStartMs = nowMs;
		this.figures = new Map(figures.map(([service, model, slotsPerSecond, kinds]) => {
			const key = getQueueKey(service, model);
			return [key, {slotsPerSecond, kinds, own: this.reported.get(key) ?? []}];
		}));
		this.recordShortages(nowMs);
	}

	/** Number of the present window, which ends with new figures or when these are overdue. */
	getWindow(): number {
		const nowMs = this.clock.now();
		if (nowMs - this.windowStartMs >= this.windowMs * REDRAW_WINDOWS) {
			this.window += 1;
			this.windowStartMs = nowMs;
		}

		return this.window;
	}

	/** Whether the leader knew of a shortage of a model a few seconds ago. */
	isRecent(key: string): boolean {
		return this.getRecent(key) !== undefined;
	}

	/** What waits at the other hosts; undefined if nothing waits for the model there or here, its rate of slots is unknown, or the figures have expired. */
	getOthers(key: string, kind: RequestKind): FleetBacklog | undefined {
		return this.toBacklog(this.getFresh(key), kind);
	}

	/** The same a few seconds after the queues of all hosts are empty, by the last rate of slots; forecasts and the times to return need it. */
	getRecentOthers(key: string, kind: RequestKind): FleetBacklog | undefined {
		const backlog = this.toBacklog(this.isFresh() ? this.getRecent(key) : undefined, kind);
		return backlog && (this.figures.has(key) ? backlog : {...backlog, urgent: 0, equal: 0});
	}

	/** Time between two returns to this host, by its part of all refused callers and the slots that are left for them; undefined without figures. */
	getRetryIntervalMs(key: string, ownReturning: number, slotsPerSecond: number | undefined): number | undefined {
		const figures = this.isFresh() ? this.getRecent(key) : undefined;
		if (!figures) {
			return undefined;
		}

		const intervalMs = slotsPerSecond === undefined ? DEFAULT_RETRY_SPACING_MS : MS_PER_SECOND / (slotsPerSecond * RETRY_SLOT_RATIO);
		const own = Math.max(1, ownReturning);
		const others = Math.max(0, countReturning(figures.kinds) - countReturning(figures.own));
		return intervalMs * (own + others) / own;
	}

	/** Whether the figures are those of a leader that answers. */
	isFresh(): boolean {
		return this.clock.now() - this.appliedMs <= FLEET_FIGURES_TTL_MS;
	}

	private toBacklog(figures: ModelFigures | undefined, kind: RequestKind): FleetBacklog | undefined {
		if (!figures || figures.slotsPerSecond <= 0) {
			return undefined;
		}

		const all = countBacklog(figures.kinds, kind);
		const own = countBacklog(figures.own, kind);
		return {
			...all, urgent: Math.max(0, all.urgent - own.urgent), equal: Math.max(0, all.equal - own.equal), slotsPerSecond: figures.slotsPerSecond, windowMs: this.windowMs,
		};
	}

	private recordShortages(nowMs: number): void {
		for (const [key, {atMs}] of this.recent) {
			if (nowMs - atMs > RECENT_SHORTAGE_MS) {
				this.recent.delete(key);
			}
		}

		for (const [key, figures] of this.figures) {
			this.recent.set(key, {...figures, atMs: nowMs});
		}
	}

	private getRecent(key: string): ModelFigures | undefined {
		const figures = this.recent.get(key);
		return figures && this.clock.now() - figures.atMs <= RECENT_SHORTAGE_MS ? figures : undefined;
	}

	private getFresh(key: string): ModelFigures | undefined {
		return this.isFresh() ? this.figures.get(key) : undefined;
	}
}
