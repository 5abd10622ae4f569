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
import {LogCapture} from './support/log-capture.js';

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
});
