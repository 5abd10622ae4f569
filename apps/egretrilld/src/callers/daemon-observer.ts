import {
	type CrashReporter, type RankedKey, type RequestEndEvent, RequestObserver, type RequestTimes, type SendEvent, type Work,
} from '@egretrill/callers';
import type {Clock} from '@egretrill/common';
import type {DemandEstimator} from '@egretrill/engines';
import type {Counter, Metrics} from '@egretrill/balancer';
import type {PromiseAudit} from '../monitor/promise-audit.js';

export type DaemonObserverOptions = {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly demand: DemandEstimator;
	readonly audit: PromiseAudit;
	readonly crashes: CrashReporter;
};

/** Records request events in the metrics, the demand estimate and the promise audit, and reports crashes to the leader. */
export class DaemonObserver extends RequestObserver {
	private readonly requests: Counter;

	constructor(private readonly opts: DaemonObserverOptions) {
		super();
		this.requests = opts.metrics.createCounter({name: 'egretrill_requests_total', help: 'Requests by customer and outcome.', labels: ['customer', 'outcome', 'verdict']});
	}

	override recordArrival({chat}: Work): void {
		if (chat) {
			this.opts.demand.recordArrival(chat.model, chat.adapter, this.opts.clock.now());
		}
	}

	override recordTimes({customer, model = '', queueMs, firstTokenMs, betweenTokensMs}: RequestTimes): void {
		const {metrics} = this.opts;
		const labels = {customer, model};
		const pairs = [[metrics.queueTime, queueMs], [metrics.firstToken, firstTokenMs], [metrics.betweenTokens, betweenTokensMs]] as const;
		for (const [durations, value] of pairs) {
			if (value !== undefined) {
				durations.record(value, labels);
			}
		}
	}

	override recordSend(send: SendEvent): void {
		this.opts.audit.checkSend(send);
	}

	override recordUnsent(requestId: string): void {
		this.opts.audit.recordUnsent(requestId);
	}

	override recordEnd({requestId, customer, outcome}: RequestEndEvent): void {
		const isVerdict = typeof outcome !== 'string';
		this.requests.add(1, {customer, outcome: isVerdict ? outcome.code : outcome, verdict: isVerdict ? outcome.run : 'ran'});
		this.opts.audit.checkEnd(requestId, outcome);
	}

	override async recordCrash(keys: readonly RankedKey[], startId: string): Promise<void> {
		await this.opts.crashes.recordEnd(keys, startId);
	}
}
