import type {Order} from '@egretrill/common';
import {expect} from 'chai';
import {checkPins, MemoryLedger, type TargetReport} from '../../src/placement/index.js';
import {createModel, MEMORY_MB} from './simulated-engine.js';

function createOrder(orderId: string, kind: 'load-model' | 'unload-model', model: string, version = 'v1'): Order {
	return {
		orderId, fencing: 1, expiresInMs: 2000, kind, model, version,
	};
}

function createReport(startId: string, residents: readonly string[], settledOrders: string[] = []): TargetReport {
	return {
		targetId: 't1', startId, memoryMb: MEMORY_MB, role: 'mixed', resident: residents.map(name => ({model: name.split('@')[0]!, version: name.split('@')[1] ?? 'v1', adapters: []})), settledOrders,
	};
}

/** Drives a ledger and records a line for each step, for snapshots of whole exchanges. */
class Exchange {
	readonly lines: string[] = [];
	readonly ledger = new MemoryLedger();

	constructor() {
		this.ledger.setModels(['a', 'b', 'c', 'd'].map(id => createModel(id)));
	}

	report(atMs: number, report: TargetReport): void {
		const settled = this.ledger.applyReport(report, atMs);
		this.record(atMs, `report ${report.startId} [${report.resident.map(({model, version}) => `${model}@${version}`).join(' ')}] settles ${JSON.stringify(settled)}`);
	}

	send(atMs: number, order: Order): void {
		const reserved = this.ledger.reserve({targetId: 't1', order}, atMs);
		if (reserved.isOk) {
			this.ledger.markSent('t1', order.orderId, atMs);
		}

		this.record(atMs, `${order.orderId} ${order.kind} ${reserved.isOk ? 'reserved' : `refused: ${reserved.error.code}: ${reserved.error.reason}`}`);
	}

	private record(atMs: number, text: string): void {
		this.lines.push(`${atMs} ms: ${text}; ${this.ledger.getUse('t1')?.possibleMb ?? '?'} MB possible`);
	}
}

describe('memory ledger', () => {
	it('refuses loads that exceed the free memory, with the reason', () => {
		const exchange = new Exchange();
		exchange.report(0, createReport('s1', ['a', 'b']));
		exchange.send(10, createOrder('o1', 'load-model', 'c'));
		exchange.send(10, createOrder('o2', 'load-model', 'd'));
		exchange.send(10, createOrder('o3', 'load-model', 'x'));
		expect(exchange.lines).toMatchSnapshot();
	});

	it('counts an unanswered load order until neither it nor the load that it may have started can still be in progress', () => {
		const exchange = new Exchange();
		exchange.report(0, createReport('s1', ['a']));
		exchange.send(10, createOrder('o1', 'load-model', 'b'));
		for (const atMs of [2000, 4100, 10_000, 14_100]) {
			exchange.report(atMs, createReport('s1', ['a']));
			exchange.send(atMs, createOrder(`later-${atMs}`, 'load-model', 'c'));
		}

		expect(exchange.lines).toMatchSnapshot();
	});

	it('counts an unanswered unload as still resident, and as done once a report names it', () => {
		const exchange = new Exchange();
		exchange.report(0, createReport('s1', ['a', 'b']));
		exchange.send(10, createOrder('o1', 'unload-model', 'b'));
		exchange.send(20, createOrder('o2', 'load-model', 'c'));
		exchange.report(500, createReport('s1', ['a'], ['o1']));
		exchange.send(510, createOrder('o3', 'load-model', 'c'));
		expect(exchange.lines).toMatchSnapshot();
	});

	it('keeps one reservation for a repeated order', () => {
		const exchange = new Exchange();
		exchange.report(0, createReport('s1', ['a']));
		exchange.send(10, createOrder('o1', 'load-model', 'b'));
		exchange.send(300, createOrder('o1', 'load-model', 'b'));
		expect(exchange.lines).toMatchSnapshot();
	});

	it('counts both versions during a change, also when the earlier one is unloaded midway', () => {
		const exchange = new Exchange();
		exchange.report(0, createReport('s1', ['a']));
		exchange.ledger.setModels([createModel('a', 60, 'v2')]);
		exchange.send(10, createOrder('o1', 'load-model', 'a', 'v2'));
		exchange.send(20, createOrder('o2', 'unload-model', 'a'));
		exchange.report(900, createReport('s1', ['a', 'a@v2'], ['o1']));
		exchange.report(1400, createReport('s1', ['a@v2'], ['o1', 'o2']));
		expect(exchange.lines).toMatchSnapshot();
	});

	it('trusts the report of a restarted target, but counts settled orders whose late copies it would execute again', () => {
		const exchange = new Exchange();
		exchange.report(0, createReport('s1', []));
		exchange.send(10, createOrder('o1', 'load-model', 'b'));
		exchange.report(500, createReport('s1', ['b'], ['o1']));
		exchange.report(1000, createReport('s2', ['c']));
		exchange.send(1010, createOrder('o2', 'load-model', 'd'));
		exchange.report(1100, createReport('s1', [], ['o1']));
		exchange.report(14_100, createReport('s2', ['c']));
		exchange.send(14_110, createOrder('o2', 'load-model', 'd'));
		expect(exchange.lines).toMatchSnapshot();
	});

	it('does not treat a relayed report as fresh, so that an old report neither settles an order nor frees memory', () => {
		const exchange = new Exchange();
		exchange.report(0, createReport('s1', []));
		exchange.send(10, createOrder('o1', 'load-model', 'b'));
		exchange.report(20_000, createReport('s1', ['b'], ['o1']));
		exchange.report(19_000, createReport('s1', ['b'], ['o1']));
		exchange.report(21_500, createReport('s1', []));
		exchange.send(21_600, createOrder('o2', 'load-model', 'c'));
		expect(exchange.lines).toMatchSnapshot();
	});

	it('refuses loads on a target that has stopped reporting or holds a model of unknown size', () => {
		const exchange = new Exchange();
		exchange.report(0, createReport('s1', []));
		exchange.send(2500, createOrder('o1', 'load-model', 'a'));
		exchange.report(3000, createReport('s1', ['y']));
		exchange.send(3010, createOrder('o2', 'load-model', 'a'));
		expect(exchange.lines).toMatchSnapshot();
	});
});

describe('checking pins', () => {
	it('refuses pins that exceed the memory of a target, with their sum', () => {
		const models = ['a', 'b', 'c'].map(id => createModel(id));
		const faults = checkPins({
			models,
			placements: {pins: ['a', 'b', 'c', 'nope'].map(model => ({model, target: 't1'})), forbids: [{model: 'a', target: 't1'}]},
			accelerators: [{target: 't1', memoryMb: 100}, {target: 't2', memoryMb: 100}],
		});
		expect(faults).toMatchSnapshot();
	});
});
