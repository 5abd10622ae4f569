import {createRandom, type Order, type Random} from '@egretrill/common';
import {expect} from 'chai';
import {
	type LedgerOptions, MAX_UNANSWERED_MODEL_LOAD_MS, MemoryLedger, ORDER_LIFETIME_MS, TAKEOVER_WAIT_MS,
} from '../../src/placement/index.js';
import {
	createModel, MEMORY_MB, SimulatedEngine, SIZES_MB,
} from './simulated-engine.js';

const HISTORIES = 1000;
const STEP_MS = 50;
const LENGTH_MS = 90_000;
const models = Object.keys(SIZES_MB);

type Delivery = {readonly atMs: number; readonly run: (nowMs: number) => void};

function pick<T>(random: Random, values: readonly T[]): T {
	return values[Math.floor(random() * values.length)]!;
}

/** Runs one history of orders, losses, reports and restarts; returns the engine's peak memory and the number of orders sent. */
function runHistory(seed: number, opts: LedgerOptions): {readonly peakMb: number; readonly sent: number} {
	const random = createRandom(seed);
	const createLedger = (predecessorSettledAtMs: number): MemoryLedger => {
		const ledger = new MemoryLedger({...opts, predecessorSettledAtMs});
		ledger.setModels(models.map(id => createModel(id)));
		return ledger;
	};

	const owner = {ledger: createLedger(0)};
	let firstOrderAtMs = 0;
	const engine = new SimulatedEngine(random() < 0.5);
	let deliveries: Delivery[] = [];
	let sent = 0;
	const lossRatio = random() * 0.6;

	const attempt = (order: Order, sentAtMs: number, nowMs: number): void => {
		const remainingMs = ORDER_LIFETIME_MS - (nowMs - sentAtMs);
		owner.ledger.markSent('t1', order.orderId, nowMs);
		// The first attempt, and sometimes a copy of it, arrives at any time before the order expires, or never.
		for (let copy = 0; copy < (random() < 0.3 ? 2 : 1); copy++) {
			if (random() >= lossRatio) {
				deliveries.push({
					atMs: nowMs + (random() * remainingMs),
					run(atMs) {
						engine.receive(order, atMs, random() * 4500);
						if (random() >= lossRatio) {
							owner.ledger.markAccepted('t1', order.orderId);
						}
					},
				});
			}
		}

		if (remainingMs > 400 && random() < 0.5) {
			deliveries.push({
				atMs: nowMs + 300, run(atMs) {
					attempt(order, sentAtMs, atMs);
				},
			});
		}
	};

	const runStep = (nowMs: number): void => {
		const due = deliveries.filter(({atMs}) => atMs <= nowMs).sort((x, y) => x.atMs - y.atMs);
		deliveries = deliveries.filter(({atMs}) => atMs > nowMs);
		for (const {run} of due) {
			run(nowMs);
		}

		if (nowMs % 500 === 0 && random() >= lossRatio) {
			const report = engine.report(nowMs);
			deliveries.push({
				atMs: nowMs + (random() < 0.5 ? 0 : random() * 1900), run(atMs) {
					owner.ledger.applyReport(report, atMs);
				},
			});
		}

		if (random() < 0.001) {
			// The owner is killed or isolated; its orders in flight still arrive, and its successor has no record of them.
			firstOrderAtMs = nowMs + TAKEOVER_WAIT_MS;
			owner.ledger = createLedger(firstOrderAtMs + MAX_UNANSWERED_MODEL_LOAD_MS);
		}

		if (random() < 0.1 && nowMs >= firstOrderAtMs) {
			const order: Order = {
				orderId: `o${nowMs}`, fencing: 1, expiresInMs: ORDER_LIFETIME_MS, kind: random() < 0.6 ? 'load-model' : 'unload-model', model: pick(random, models), version: 'v1',
			};
			if (owner.ledger.reserve({targetId: 't1', order}, nowMs).isOk) {
				sent += 1;
				attempt(order, nowMs, nowMs);
			}
		}

		if (random() < 0.01) {
			engine.restart(nowMs, () => random() < 0.5);
		}
	};

	for (let nowMs = 0; nowMs < LENGTH_MS; nowMs += STEP_MS) {
		runStep(nowMs);
	}

	return {peakMb: engine.peakMb, sent};
}

describe('memory ledger over histories of orders, losses, reports, restarts and changes of owner', () => {
	it(`never overcommits in ${HISTORIES} histories (seeds 1 to ${HISTORIES})`, () => {
		const runs = Array.from({length: HISTORIES}, (_, i) => ({seed: i + 1, ...runHistory(i + 1, {})}));
		expect(runs.filter(({peakMb}) => peakMb > MEMORY_MB)).to.deep.equal([]);
		// A ledger that refused everything would pass the check above.
		expect(runs.reduce((sum, {sent}) => sum + sent, 0)).to.be.greaterThan(HISTORIES * 10);
	});

	it('detects the overcommitment by a ledger that drops unanswered loads too early', () => {
		const found = Array.from({length: HISTORIES}, (_, i) => runHistory(i + 1, {maxModelLoadMs: -ORDER_LIFETIME_MS})).filter(({peakMb}) => peakMb > MEMORY_MB);
		expect(found.length).to.be.greaterThan(0);
	});
});
