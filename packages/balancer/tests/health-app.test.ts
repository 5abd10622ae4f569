import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {createHealthApp, Metrics, type UnreadyReason} from '../src/index.js';

async function withApp(reasons: readonly UnreadyReason[], metrics: Metrics, run: (origin: string) => Promise<void>): Promise<void> {
	const server = createHealthApp({getUnreadyReasons: () => reasons, metrics}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	try {
		await run(`http://127.0.0.1:${port}`);
	} finally {
		server.closeAllConnections();
		server.close();
	}
}

async function fetchAnswer(url: string) {
	const res = await fetch(url);
	return {
		path: new URL(url).pathname, status: res.status, type: res.headers.get('content-type'), body: await res.text(),
	};
}

describe('health app', () => {
	it('reports ready only without unready reasons and alive in any case, so that a draining host is not restarted', async () => {
		await withApp([], new Metrics(), async origin => {
			expect([await fetchAnswer(`${origin}/healthz`), await fetchAnswer(`${origin}/readyz`)]).toMatchSnapshot();
		});
		await withApp([{check: 'configuration', reason: 'no version since the start'}], new Metrics(), async origin => {
			expect([await fetchAnswer(`${origin}/healthz`), await fetchAnswer(`${origin}/readyz`)]).toMatchSnapshot();
		});
	});

	it('formats counters, gauges and percentiles as Prometheus text with label values escaped', async () => {
		const metrics = new Metrics();
		metrics.createCounter({name: 'egretrill_refused_total', help: 'Refused requests.', labels: ['code']}).add(2, {code: 'a"b\\c\nd'});
		metrics.createGauge({name: 'egretrill_in_flight', help: 'Requests in flight.'}).set(3);
		for (let durationMs = 1; durationMs <= 100; durationMs++) {
			metrics.firstToken.record(durationMs, {customer: 'atlas', model: 'm1'});
		}

		await withApp([], metrics, async origin => {
			expect(await fetchAnswer(`${origin}/metrics`)).toMatchSnapshot();
		});
	});

	it('limits label sets without losing counts, so that arbitrary model names cannot exhaust memory', () => {
		const metrics = new Metrics();
		const counter = metrics.createCounter({
			name: 'egretrill_requests_total', help: 'Requests.', labels: ['model'], maxLabelSets: 3,
		});
		for (let i = 0; i < 100; i++) {
			counter.add(1, {model: `m${i}`});
		}

		expect(counter.format()).toMatchSnapshot();
	});

	it('drops durations after two windows, so that an old fast period does not hide a slow one', () => {
		const clock = new ManualClock();
		const {queueTime} = new Metrics(clock);
		const seen = [];
		for (const durationMs of [10, 100, 1000]) {
			queueTime.record(durationMs);
			seen.push([queueTime.getQuantile(0), queueTime.getQuantile(1)]);
			clock.advance(300_000);
		}

		seen.push([queueTime.getQuantile(0), queueTime.getQuantile(1)]);
		clock.advance(600_000);
		seen.push([queueTime.getQuantile(0), queueTime.getQuantile(1)]);
		expect({seen, text: queueTime.format().split('\n')}).toMatchSnapshot();
	});

	it('keeps percentiles within 1 % and clamps durations to the recorded range', () => {
		const metrics = new Metrics();
		for (const durationMs of [0, 12.3, 1e9, -1]) {
			metrics.queueTime.record(durationMs);
		}

		expect(metrics.queueTime.getQuantile(0.75)).to.be.closeTo(12.3, 0.123);
		expect(metrics.queueTime.getQuantile(1)).to.be.closeTo(600_000, 6000);
	});
});
