import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {Metrics} from '@egretrill/balancer';
import {
	type AnswerMetadata, type ForwardCall, ForwardDialect,
} from '@egretrill/callers';
import {
	createRandom, type Fault, LoopWatch, MonotonicClock, type TrafficConfig,
} from '@egretrill/common';
import {ControlPeers} from '@egretrill/hosts';
import {credentials, ServerCredentials} from '@grpc/grpc-js';
import {expect} from 'chai';
import got from 'got';
import {Result} from 'true-myth';
import {ConfigDecoder, EntryHost, EntrySettings} from '../../src/traffic/index.js';
import {LoopMetrics} from '../../src/traffic/loop-metrics.js';
import {getPort, startEntryHost} from './support/entry-fixture.js';
import {config, route, SIGNED} from './support/forward-host.js';
import {LogCapture} from './support/log-capture.js';
import {callRaw} from './support/raw-caller.js';
import {RawTarget} from './support/raw-target.js';

class ThrowingDialect extends ForwardDialect {
	override readCall(): ForwardCall {
		throw new Error('The head cannot be parsed.');
	}

	override writeSendHeaders(): string[] {
		return [];
	}

	override readAnswer(): AnswerMetadata {
		return {
			isSigned: true, isNotExecuted: false, isEventStream: false, headers: [],
		};
	}
}

class UnusedDecoder extends ConfigDecoder {
	override decode(): Result<TrafficConfig, readonly Fault[]> {
		return Result.err([]);
	}
}

const settings = EntrySettings.parse({
	host: 'e1', zone: 'z', seeds: ['127.0.0.1:1'], role: 'entry', listen: {callers: '127.0.0.1:1', health: '127.0.0.1:2'}, bounds: {
		retryRatio: 0, retryReserve: 0, coldExcessRatio: 1, orderLeaseMs: 1000, drainMs: 1000, balancerWaitMs: 0,
	},
});

describe('EntryHost', () => {
	// Guards against an exception that closes the caller's connection without an answer, or that ends the process because it is raised again when it is logged.
	it('answers a request that ends with an unexpected exception', async () => {
		const clock = new MonotonicClock();
		const metrics = new Metrics();
		const capture = new LogCapture('callers');
		const {logger} = capture;
		const peers = new ControlPeers({seedIds: [], clock, credentials: {server: ServerCredentials.createInsecure(), client: credentials.createInsecure()}});
		const host = new EntryHost({
			settings, clock, random: createRandom(1), logger, metrics, watch: new LoopWatch(clock, logger, new LoopMetrics(metrics)), peers, dialect: new ThrowingDialect(), decoder: new UnusedDecoder(),
		});
		host.server.listen(0, '127.0.0.1');
		await once(host.server, 'listening');
		const {port} = host.server.address() as AddressInfo;
		const res = await got.post(`http://127.0.0.1:${port}/orders`, {body: 'x', retry: {limit: 0}, throwHttpErrors: false});
		host.server.close();
		host.server.closeAllConnections();
		const lines = await capture.getLines();
		expect({status: res.statusCode, body: res.body, lines: lines.map(({msg}) => msg)}).toMatchSnapshot();
	});

	// Guards against restarted entry hosts that each send a cold target all that it bears before a leader tells them of the others.
	it('sends a cold target its part by the number of hosts in the log', async () => {
		const target = await RawTarget.open(async peer => {
			await peer.readHead();
			await peer.write(`HTTP/1.1 200 OK\r\n${SIGNED}Connection: close\r\nContent-Length: 4\r\n\r\ndone`);
		});
		const host = await startEntryHost(target.address);
		host.applyConfig({
			version: 2, source: JSON.stringify({
				...config, version: 2, routes: [{...route, timeoutMs: 300}], services: [{name: 's', coldRequestsPerSecond: 4}],
			}),
		});
		host.applyTargets({
			origin: 'o', revision: 2, isWhole: true, targets: [{
				ageMs: 0, hasEnded: false, registration: {
					targetId: 'cold', startedAtMs: 1, sequence: 1, service: 's', address: target.address, zone: 'a', slots: 8, isLeaving: false, coldForMs: 60_000, models: [], inMemory: [], onDisk: [],
				},
			}],
		}, []);
		host.applyHostCount(4);
		const answers = await Promise.all(['a1', 'a2', 'a3', 'a4'].map(async attemptId => callRaw(getPort(host), {method: 'POST', body: 'order', attemptId})));
		host.server.close();
		host.server.closeAllConnections();
		target.close();
		expect({sent: target.peers.length, statuses: answers.map(({status}) => status).toSorted((a, b) => a - b)}).toMatchSnapshot();
	});
});
