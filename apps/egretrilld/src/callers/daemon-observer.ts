import {
	type RequestEndEvent, RequestObserver, type RequestTimes, type SendEvent, type Work,
} from '@egretrill/callers';
import type {Clock} from '@egretrill/common';
import type {DemandEstimator} from '@egretrill/engines';
import type {PeerDirectory} from '@egretrill/hosts';
import type {Counter, Metrics} from '@egretrill/balancer';
import {crashMethod} from '../methods.js';
import type {PromiseAudit} from '../monitor/promise-audit.js';

export type DaemonObserverOptions = {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly demand: DemandEstimator;
	readonly audit: PromiseAudit;
	readonly peers: PeerDirectory;
	readonly getLeaderId: () => string | undefined;
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

	override async recordCrash(fingerprint: string, startId: string): Promise<void> {
		const leaderId = this.opts.getLeaderId();
		if (leaderId !== undefined) {
			await this.opts.peers.call(leaderId, crashMethod, {fingerprint, startId});
		}
	}
}
