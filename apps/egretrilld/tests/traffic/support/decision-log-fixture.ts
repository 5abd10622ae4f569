import {Metrics} from '@egretrill/balancer';
import type {ForwardCall, ForwardEndNote} from '@egretrill/callers';
import {ManualClock, refuse, type Verdict} from '@egretrill/common';
import {DecisionLog, EntryObserver} from '../../../src/traffic/index.js';
import {LogLines} from './log-lines.js';

function createCall(attemptId: string, model: string): ForwardCall {
	return {
		attemptId, model, method: 'POST', hostName: 'app.test', url: '/generate', promptParts: [], headers: [],
	};
}

/** The id of the request with a number, as long as those of callers. */
export function createId(i: number): string {
	return `b63f0724${i.toString(16).padStart(8, '0')}`;
}

export const overloaded = refuse(503, 'overloaded', 'All targets are busy.', 700);
export const overRate = refuse(429, 'over-rate', 'The customer has used up its rate.', 1200);

/** The decision lines of an entry host whose requests the test ends. */
export class DecisionLogFixture extends LogLines {
	readonly clock = new ManualClock();
	readonly ends = new AbortController();
	readonly ended: Promise<void>;
	private readonly observer: EntryObserver;

	constructor() {
		super('callers');
		const log = new DecisionLog(this.clock, this.logger);
		this.observer = new EntryObserver(log, new Metrics(this.clock), () => 76);
		this.ended = log.run(this.ends.signal);
	}

	async stop(): Promise<void> {
		this.ends.abort();
		await this.ended;
	}

	/** An answer at the first attempt, whole and in time, unless the note says otherwise. */
	answer(id: string, note: Partial<ForwardEndNote> = {}): void {
		this.observer.noteEnd({
			call: createCall(id, 'bami79301a'), route: 'r-97eknmk', customer: 'bose983', configVersion: 16, outcome: 'answered', status: 200, targetId: 'i-17caa69915', outstanding: 3, attempts: 1, waitMs: 0, tookMs: 123.4, bodyEnd: 'length', bodyBytes: 1234, targetLatencyMs: 800, ...note,
		});
	}

	refuse(id: string, verdict: Verdict = overloaded, model = 'bami79301a'): void {
		this.observer.noteEnd({
			call: createCall(id, model), route: 'r-97eknmk', customer: 'bose983', configVersion: 16, outcome: verdict, attempts: 0, waitMs: 501, tookMs: 502,
		});
	}

	/** An attempt without an answer, after which the request may go on. */
	miss(id: string, targetId = 'i-c00dd269c1', reason = 'The answer ended early.'): void {
		this.observer.noteAttempt({
			call: createCall(id, 'bami79301a'),
			place: {
				targetId, address: '127.0.0.1:1', zone: 'z', outstanding: 1, noteOutstanding: () => undefined, end: () => undefined,
			},
			attempt: 1,
			outcome: 'broken',
			tookMs: 204.2,
			reason,
		});
	}

	/** A request whose caller has part of an answer. */
	breakOff(id: string): void {
		this.miss(id);
		this.answer(id, {
			outcome: 'broken', targetId: 'i-c00dd269c1', bodyEnd: undefined, bodyBytes: undefined,
		});
	}

	/** Ends requests at a steady rate, a tenth of them without an answer; returns the ids of the answered ones. */
	async play(seconds: number, perSecond: number): Promise<readonly string[]> {
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
			this.breakOff(id);
		} else {
			this.answer(id, {outcome: 'left'});
		}
	}
}
