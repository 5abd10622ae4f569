import type {Clock, Logger, ScalingRange} from '@egretrill/common';
import {
	MISSING_MARGIN_MS, REFUSED_RETRY_MS, SHRINK_INTERVAL_MS, USE_SAMPLE_INTERVAL_MS, WAITING_COUNTS_RATIO,
} from './constants.js';
import {Duty, type DueCall} from './duty.js';
import type {DutyLog} from './duty-log.js';
import type {DutyObserver} from './duty-observer.js';
import type {EngineCountPolicy} from './engine-count-policy.js';
import type {ProviderCalls} from './provider-calls.js';
import type {
	CallOutcome, DutyHolder, EngineOrder, RecordedOrder,
} from './types.js';
import {ZoneUse} from './zone-use.js';

/** The engines of a service in a zone, and what takes their slots now. */
export type ZoneEngines = {
	readonly service: string;
	readonly zone: string;
	readonly range: ScalingRange;
	/** Registered engines, without those that leave. */
	readonly live: number;
	readonly slotsPerEngine: number;
	readonly running: number;
	/** Requests that wait for a slot. */
	readonly waiting: number;
};

export type EngineDutyOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly log: DutyLog;
	readonly calls: ProviderCalls;
	readonly observer: DutyObserver;
	readonly policy: EngineCountPolicy;
	readonly holder: DutyHolder;
	/** Time of the first call of this holder; nothing is decided before. */
	readonly firstCallAtMs: number;
	/** Zones with engines that may be ordered; zones that are out of service or out of touch are left out. */
	readonly listZones: () => readonly ZoneEngines[];
	/** Whether all entry hosts have reported a moment ago: without some of them demand seems smaller than it is. */
	readonly hasAllReports: () => boolean;
};

type Zone = {
	readonly use: ZoneUse;
	changedMs: number;
	/** Most engines seen. */
	seen: number;
	/** Time from which fewer engines were registered than ordered. */
	shortSinceMs: number | undefined;
	refusedUntilMs: number;
	/** Time of the last call for this zone. */
	calledMs: number;
};

function getKey({service, zone}: Pick<EngineOrder, 'service' | 'zone'>): string {
	return JSON.stringify([service, zone]);
}

/** Orders the number of engines of each zone: records an order in the log before it is sent, and sends the last one until the provider accepts it. */
export class EngineDuty extends Duty {
	private readonly zones = new Map<string, Zone>();
	/** Orders that the provider has accepted, as long as the log has not recorded it. */
	private readonly accepted = new Map<string, EngineOrder>();
	private sampledMs = Number.NEGATIVE_INFINITY;
	private shrunkMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly opts: EngineDutyOptions) {
		super();
	}

	override async update(): Promise<void> {
		const {clock, firstCallAtMs, listZones, log, observer} = this.opts;
		await this.recordAcceptances();
		if (clock.now() - this.sampledMs < USE_SAMPLE_INTERVAL_MS) {
			return;
		}

		this.sampledMs = clock.now();
		for (const engines of listZones()) {
			this.sample(engines);
			if (clock.now() >= firstCallAtMs) {
				await this.decide(engines);
			}
		}

		for (const {service, zone, count} of log.getOrders()) {
			observer.record({
				kind: 'ordered', service, zone, count,
			});
		}
	}

	override getDueCall(): DueCall | undefined {
		const {calls, clock, holder, log} = this.opts;
		const due = log.getOrders().filter(recorded => !recorded.isAccepted && !this.isAcceptedHere(recorded) && clock.now() >= this.getZone(recorded).refusedUntilMs);
		// The zones take turns, so that failures of one do not hold up the others.
		const order = due.toSorted((first, second) => this.getZone(first).calledMs - this.getZone(second).calledMs)[0];
		return order && {
			duty: 'engines',
			send: async mayWrite => calls.orderEngines(order, holder, mayWrite),
			record: async outcome => this.recordOutcome(order, outcome),
		};
	}

	private getZone(place: Pick<EngineOrder, 'service' | 'zone'>): Zone {
		const key = getKey(place);
		const zone = this.zones.get(key) ?? {
			use: new ZoneUse(), changedMs: this.opts.clock.now(), seen: 0, shortSinceMs: undefined, refusedUntilMs: Number.NEGATIVE_INFINITY, calledMs: 0,
		};
		this.zones.set(key, zone);
		return zone;
	}

	private sample(engines: ZoneEngines): void {
		const {live, running, slotsPerEngine, waiting} = engines;
		const zone = this.getZone(engines);
		const isCrowded = running >= live * slotsPerEngine * WAITING_COUNTS_RATIO;
		zone.seen = Math.max(zone.seen, live);
		zone.use.add(this.opts.clock.now(), running + (isCrowded ? waiting : 0));
	}

	private async decide(engines: ZoneEngines): Promise<void> {
		const {clock, hasAllReports, log, logger, policy} = this.opts;
		const {service, zone, live} = engines;
		const state = this.getZone(engines);
		// Without an order, the zone is taken to have the engines that were seen there.
		const current = this.getLastOrder(engines)?.count ?? state.seen;
		const mayShrink = hasAllReports() && clock.now() - this.shrunkMs >= SHRINK_INTERVAL_MS;
		const count = policy.decide({
			...engines, current, use: state.use, missing: this.countMissing(engines, current), sinceChangeMs: clock.now() - state.changedMs, mayShrink,
		});
		if (count === current) {
			return;
		}

		const isKnown = await log.recordOrder({service, zone, count});
		state.changedMs = clock.now();
		this.shrunkMs = count < current ? clock.now() : this.shrunkMs;
		logger.info({
			service, zone, from: current, to: count, live, running: engines.running, waiting: engines.waiting, isKnown,
		}, 'The number of engines of a zone was changed.');
	}

	private countMissing(engines: ZoneEngines, current: number): number {
		const {live, range: {bootMs}} = engines;
		const zone = this.getZone(engines);
		const nowMs = this.opts.clock.now();
		zone.shortSinceMs = live < current ? Math.max(zone.shortSinceMs ?? nowMs, zone.changedMs) : undefined;
		return zone.shortSinceMs !== undefined && nowMs - zone.shortSinceMs > bootMs + MISSING_MARGIN_MS ? current - live : 0;
	}

	private getLastOrder(place: Pick<EngineOrder, 'service' | 'zone'>): RecordedOrder | undefined {
		return this.opts.log.getOrders().find(order => getKey(order) === getKey(place));
	}

	private isAcceptedHere(order: EngineOrder): boolean {
		return this.accepted.get(getKey(order))?.count === order.count;
	}

	private async recordOutcome(order: EngineOrder, outcome: CallOutcome): Promise<void> {
		const {clock, holder: {fencingToken}, logger} = this.opts;
		const {service, zone, count} = order;
		logger[outcome === 'accepted' ? 'info' : 'warn']({
			service, zone, count, outcome, fencingToken,
		}, 'A number of engines was ordered from the provider.');
		this.getZone(order).calledMs = clock.now();
		if (outcome === 'refused') {
			this.getZone(order).refusedUntilMs = clock.now() + REFUSED_RETRY_MS;
		}

		if (outcome === 'accepted') {
			this.accepted.set(getKey(order), order);
			await this.recordAcceptances();
		}
	}

	private async recordAcceptances(): Promise<void> {
		for (const [key, order] of this.accepted) {
			const last = this.getLastOrder(order);
			const isOutdated = last === undefined || last.isAccepted || last.count !== order.count;
			if (isOutdated || await this.opts.log.acceptOrder(order)) {
				this.accepted.delete(key);
			}
		}
	}
}
