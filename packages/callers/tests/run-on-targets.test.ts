import {ManualClock, type TargetAddress} from '@egretrill/common';
import {expect} from 'chai';
import {Result} from 'true-myth';
import type {Exchange} from '../src/exchange-types.js';
import {listRequestKeys} from '../src/list-request-keys.js';
import {
	ChosenTarget, CrashGate, CrashTracker, getResultAtStop, type RequestObserver, RetryBudget, runOnTargets, TargetPool, type TargetOutcome, type TargetRequirements,
} from '../src/index.js';

/** A target that accepts no requests without a permit, like one that turned cold after it was chosen. */
class TurnedColdTarget extends ChosenTarget {
	override readonly address: TargetAddress;
	readonly outcomes: TargetOutcome[] = [];

	constructor(override readonly hasPermit: boolean, startNumber: number, private readonly isEnded: boolean) {
		super();
		this.address = {targetId: 'engine-a', startId: `start-${startNumber}`, address: '127.0.0.1:1'};
	}

	override isAvailable(): boolean {
		return this.hasPermit;
	}

	override isProcessAnnounced(): boolean {
		return true;
	}

	override async hasEnded(): Promise<boolean> {
		return this.isEnded;
	}

	override recordFirstToken(): void {
		// Not used by this test.
	}

	override release(outcome: TargetOutcome): void {
		this.outcomes.push(outcome);
	}
}

class OneTargetPool extends TargetPool {
	readonly excludedByChoice: string[][] = [];
	readonly chosen: TurnedColdTarget[] = [];

	/** With `doTargetsEnd`, each attempt ends its target. */
	constructor(private readonly isWarm = false, private readonly doTargetsEnd = false) {
		super();
	}

	override getFreeSlots(): number {
		return 1;
	}

	override async choose({excluded}: TargetRequirements) {
		this.excludedByChoice.push([...excluded]);
		const target = new TurnedColdTarget(this.isWarm || this.chosen.length > 0, this.chosen.length + 1, this.doTargetsEnd);
		this.chosen.push(target);
		return Result.ok<ChosenTarget>(target);
	}
}

function createExchange(targets: TargetPool, sent: string[], crashes = new CrashTracker(new ManualClock(), 'test'), clock = new ManualClock()): Exchange {
	const observer: Partial<RequestObserver> = {
		recordSend({targetId}) {
			sent.push(targetId);
		},
		async recordCrash(keys, startId) {
			crashes.recordEnd(keys, startId);
		},
		recordUnsent() {
			sent.push('unsent');
		},
	};
	return {
		req: {
			requestId: 'req-1', method: 'POST', path: '/registry/mark', headers: {}, body: new Uint8Array(),
		},
		work: {route: {kind: 'service', service: 'registry', idempotent: true}, prompt: ''},
		identity: {},
		keys: [],
		admission: {refresh: async () => Result.ok(true), start: () => true},
		signal: new AbortController().signal,
		deadlineMs: 5000,
		deps: {
			clock,
			targets,
			observer,
			retries: new RetryBudget(clock),
			crashGate: new CrashGate(clock, crashes),
			config: {getIndex: () => ({}), getAgeMs: () => 0},
			logger: {info: () => undefined},
			services: {send: async () => Result.err({accepted: true, code: 'ECONNRESET', reason: 'The test ends here.'})},
		},
	} as unknown as Exchange;
}

describe('attempts of one request', () => {
	// Guards against a refusal when the only target turns cold after it was chosen and before the request is sent.
	it('choose a target again that accepted no requests without a permit', async () => {
		const pool = new OneTargetPool();
		const sent: string[] = [];
		await runOnTargets(createExchange(pool, sent));
		expect({excluded: pool.excludedByChoice, outcomes: pool.chosen.map(({outcomes}) => outcomes), sent}).toMatchSnapshot();
	});

	// Guards against "may have run" of a request whose connection was not open yet when it was aborted, and "not run" of one that was sent.
	it('tell whether an aborted request was sent', async () => {
		const outcomes = [];
		for (const accepted of [false, true]) {
			const pool = new OneTargetPool(true);
			const aborter = new AbortController();
			const sent: string[] = [];
			const exchange = createExchange(pool, sent);
			const services = {
				async send() {
					aborter.abort();
					return Result.err({accepted, code: 'ABORT_ERR', reason: 'aborted'});
				},
			};
			const result = await runOnTargets({...exchange, signal: aborter.signal, deps: {...exchange.deps, services}});
			outcomes.push({ended: getResultAtStop(result).unwrapOrElse(verdict => verdict), released: pool.chosen.flatMap(({outcomes: released}) => released), sent});
		}

		expect(outcomes).toMatchSnapshot();
	});

	// Guards against a message that ends target after target because no two of the requests with it are alike.
	it('end with a refusal once targets ended under a message that requests share', async () => {
		const clock = new ManualClock();
		const crashes = new CrashTracker(clock, 'test');
		const pool = new OneTargetPool(true, true);
		const outcomes: unknown[] = [];
		for (let i = 0; i < 6; i++) {
			const messages = [{role: 'system', content: 'harmful'}, {role: 'user', content: `question ${i}`}];
			const {work, ...exchange} = createExchange(pool, [], crashes, clock);
			const keys = listRequestKeys(`request-${i}`, 0, {
				...work, chat: {
					model: 'm', messages, stream: false, max_tokens: 1,
				},
			});
			const result = await runOnTargets({...exchange, work: {...work, route: {...work.route, idempotent: false}}, keys});
			outcomes.push(result.isErr ? result.error.code : 'answered');
			await clock.run(500);
		}

		expect({outcomes, sends: pool.chosen.length}).toMatchSnapshot();
	});
});
