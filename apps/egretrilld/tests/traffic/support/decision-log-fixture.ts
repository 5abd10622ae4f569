import {Metrics} from '@egretrill/balancer';
import type {ForwardCall, ForwardEndEvent} from '@egretrill/callers';
import {ManualClock, refuse, type Verdict} from '@egretrill/common';
import {DecisionLog, EntryObserver} from '../../../src/traffic/index.js';
import {LogCapture} from './log-capture.js';

function createCall(attemptId: string, model: string): ForwardCall {
	return {
		attemptId, model, method: 'POST', hostName: 'app.test', url: '/generate', promptParts: [], headers: [],
	};
}

/** Creates a request id from a number, with the length of callers' ids. */
export function createId(i: number): string {
	return `b63f0724${i.toString(16).padStart(8, '0')}`;
}

export const overloaded = refuse(503, 'overloaded', 'All targets are busy.', 700);
export const overRate = refuse(429, 'over-rate', 'The customer has used up its rate.', 1200);

/** Captures the decision lines of an entry host for requests ended by the test. */
export class DecisionLogFixture extends LogCapture {
	readonly clock = new ManualClock();
	readonly stopController = new AbortController();
	readonly stopped: Promise<void>;
	private readonly metrics = new Metrics(this.clock);
	private readonly observer: EntryObserver;

	constructor() {
		super('callers');
		const log = new DecisionLog(this.clock, this.logger);
		this.observer = new EntryObserver(log, this.metrics, () => 76);
		this.stopped = log.run(this.stopController.signal);
	}

	/** The metrics whose names begin with a prefix, as they are served. */
	getMetrics(prefix: string): readonly string[] {
		return this.metrics.format().split('\n').filter(line => line.startsWith(prefix));
	}

	async stop(): Promise<void> {
		this.stopController.abort();
		await this.stopped;
	}

	/** Ends a request with a complete answer at the first attempt within the target latency, unless `event` overrides it. */
	answer(id: string, event: Partial<ForwardEndEvent> = {}): void {
		this.observer.recordEnd({
			call: createCall(id, 'bami79301a'), route: 'r-97eknmk', customer: 'bose983', configVersion: 16, outcome: 'answered', status: 200, targetId: 'i-17caa69915', outstanding: 3, attempts: 1, waitMs: 0, tookMs: 123.4, bodyEnd: 'length', bodyBytes: 1234, targetLatencyMs: 800, ...event,
		});
	}

	refuse(id: string, verdict: Verdict = overloaded, model = 'bami79301a', event: Partial<ForwardEndEvent> = {}): void {
		this.observer.recordEnd({
			call: createCall(id, model), route: 'r-97eknmk', customer: 'bose983', configVersion: 16, outcome: verdict, attempts: 0, waitMs: 501, tookMs: 502, ...event,
		});
	}

	/** Records an attempt without an answer; the request itself may continue. */
	failAttempt(id: string, targetId = 'i-c00dd269c1', reason = 'The answer ended early.'): void {
		this.observer.recordAttempt({
			call: createCall(id, 'bami79301a'),
			slot: {
				targetId, address: '127.0.0.1:1', zone: 'z', startedAtMs: 1, wasCold: false, isLeaving: () => false, outstanding: 1, recordLoad: () => undefined, recordStream: () => undefined, reportSilence: () => undefined, recordActivity: () => undefined, reportLeaving: () => undefined, reportPause: () => undefined, release: () => undefined,
			},
			attempt: 1,
			outcome: 'broken',
			tookMs: 204.2,
			reason,
		});
	}

	/** Ends a request whose caller has received part of an answer. */
	breakAnswer(id: string): void {
		this.failAttempt(id);
		this.answer(id, {
			outcome: 'broken', targetId: 'i-c00dd269c1', bodyEnd: undefined, bodyBytes: undefined,
		});
	}

	/** Ends requests at a constant rate, 10 % of them without an answer; returns the ids of the answered ones. */
	async simulate(seconds: number, perSecond: number): Promise<readonly string[]> {
		const answered: string[] = [];
		for (let i = 0; i < seconds * perSecond; i++) {
			const id = createId(i);
			if (i % 10 === 0) {
				this.fail(id, (i / 10) % 5);
			} else {
				answered.push(id);
				this.answer(id, {
					targetId: `i-17caa699${10 + (i % 12)}`, bodyBytes: 800 + (i % 900), tookMs: 90 + (i % 600), waitMs: i % 4 === 0 ? 12 : 0, ...(i % 3 === 0 && {bodyEnd: 'chunks', firstMs: 45, longestPauseMs: 20}),
				});
			}

			await this.clock.run(1000 / perSecond);
		}

		return answered;
	}

	private fail(id: string, kind: number): void {
		if (kind < 2) {
			this.refuse(id);
		} else if (kind === 2) {
			this.refuse(id, overRate);
		} else if (kind === 3) {
			this.breakAnswer(id);
		} else {
			this.answer(id, {outcome: 'left'});
		}
	}
}
