import type {Clock, Logger, ScalingRange} from '@egretrill/common';
import {
	ORDER_INTERVAL_MARGIN_MS, REFUSED_RETRY_MS, SHRINK_INTERVAL_MS, USE_SAMPLE_INTERVAL_MS, WAITING_COUNTS_RATIO,
} from './constants.js';
import {Duty, type DueCall} from './duty.js';
import type {DutyLog} from './duty-log.js';
import type {DutyObserver} from './duty-observer.js';
import type {EngineCountPolicy} from './engine-count-policy.js';
import type {ProviderCalls} from './provider-calls.js';
import type {
	CallOutcome, DutyHolder, EngineOrder, RecordedOrder,
} from './types.js';
import {ZoneHistory} from './zone-history.js';

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
	/** Lease of the duties. */
	readonly orderLeaseMs: number;
	/** Time after which an engine that no longer registers is not live. */
	readonly registrationTtlMs: number;
	/** Returns the number of engines that may be ordered; undefined for a service without a range, or a zone that is out of service. */
	readonly getRange: (place: Place) => ScalingRange | undefined;
	/** Zones with engines that may be ordered; zones that are out of service or out of touch are left out. */
	readonly listZones: () => readonly ZoneEngines[];
	/** Whether all entry hosts have reported a moment ago: without some of them demand seems smaller than it is. */
	readonly hasAllReports: () => boolean;
};

type Place = Pick<EngineOrder, 'service' | 'zone'>;

function getKey({service, zone}: Place): string {
	return JSON.stringify([service, zone]);
}

/** Orders the number of engines of each zone: records an order in the log before it is sent, and sends the last one until the provider accepts it. */
export class EngineDuty extends Duty {
	private readonly zones = new Map<string, ZoneHistory>();
	/** Orders that the provider has accepted, as long as the log has not recorded it. */
	private readonly accepted = new Map<string, EngineOrder>();
	private sampledMs = Number.NEGATIVE_INFINITY;
	private shrunkMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly opts: EngineDutyOptions) {
		super();
	}

	override async update(): Promise<void> {
		const {clock, firstCallAtMs, getRange, listZones, log, observer} = this.opts;
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
				kind: 'ordered', service, zone, count: getRange({service, zone}) ? count : 0,
			});
		}
	}

	override getDueCall(): DueCall | undefined {
		const {calls, clock, holder, log} = this.opts;
		const due = log.getOrders().filter(recorded => !recorded.isAccepted && !this.isAcceptedHere(recorded) && this.isAllowed(recorded) && clock.now() >= this.getZone(recorded).refusedUntilMs);
		// The zones take turns, so that failures of one do not hold up the others.
		const order = due.toSorted((first, second) => this.getZone(first).calledMs - this.getZone(second).calledMs)[0];
		return order && {
			duty: 'engines',
			send: async mayWrite => calls.orderEngines(order, holder, mayWrite),
			record: async outcome => this.recordOutcome(order, outcome),
		};
	}

	private getZone(place: Place): ZoneHistory {
		const {clock, firstCallAtMs} = this.opts;
		const key = getKey(place);
		// An earlier leader may have sent an order until its lease expired.
		const zone = this.zones.get(key) ?? new ZoneHistory(Math.max(clock.now(), firstCallAtMs));
		this.zones.set(key, zone);
		return zone;
	}

	private sample(engines: ZoneEngines): void {
		const {live, running, slotsPerEngine, waiting} = engines;
		const isCrowded = running >= live * slotsPerEngine * WAITING_COUNTS_RATIO;
		this.getZone(engines).add(this.opts.clock.now(), live, running + (isCrowded ? waiting : 0));
	}

	private async decide(engines: ZoneEngines): Promise<void> {
		const {clock, hasAllReports, log, logger, policy} = this.opts;
		const {service, zone, live, range: {bootMs}} = engines;
		const history = this.getZone(engines);
		const last = this.getLastOrder(engines);
		const nowMs = clock.now();
		const current = last?.count ?? history.mostLive;
		const shortfall = history.getShortfall(nowMs, current, bootMs);
		if (!this.mayDecide(history, last)) {
			return;
		}

		const mayShrink = hasAllReports() && nowMs - this.shrunkMs >= SHRINK_INTERVAL_MS;
		const count = policy.decide({
			...engines, ...shortfall, current, use: history.use, sinceChangeMs: history.getSinceChangeMs(nowMs), mayShrink,
		});
		if (count === current) {
			return;
		}

		const isKnown = await log.recordOrder({service, zone, count});
		history.recordOrder(clock.now(), shortfall.missing);
		this.shrunkMs = count < current ? clock.now() : this.shrunkMs;
		logger.info({
			service, zone, from: current, to: count, live, running: engines.running, waiting: engines.waiting, isKnown,
		}, 'A new number of engines was decided for a zone.');
	}

	/** Whether the last order is long enough ago that none goes back and forth within the lease. Without an order, the engines that the zone has must be known: an order below them would end some. */
	private mayDecide(history: ZoneHistory, last: RecordedOrder | undefined): boolean {
		const {clock, hasAllReports, orderLeaseMs, registrationTtlMs} = this.opts;
		const nowMs = clock.now();
		const isKnown = last !== undefined || (hasAllReports() && history.getUnchangedMs(nowMs) > registrationTtlMs);
		return isKnown && history.getSinceChangeMs(nowMs) >= orderLeaseMs + ORDER_INTERVAL_MARGIN_MS;
	}

	/** Whether the configuration still allows an order. */
	private isAllowed(order: EngineOrder): boolean {
		const range = this.opts.getRange(order);
		return range !== undefined && order.count >= range.min && order.count <= range.max;
	}

	private getLastOrder(place: Place): RecordedOrder | undefined {
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
		}, 'The provider was called with a number of engines.');
		const history = this.getZone(order);
		history.calledMs = clock.now();
		if (outcome === 'refused') {
			history.refusedUntilMs = clock.now() + REFUSED_RETRY_MS;
		}

		if (outcome === 'accepted' || outcome === 'unknown') {
			history.recordSent(clock.now());
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
