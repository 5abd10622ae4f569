import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {Metrics} from '@egretrill/balancer';
import {
	createLogger, type Logger, LoopWatch, MonotonicClock, type TrafficConfig, type TrafficRoute,
} from '@egretrill/common';
import {ControlPeers} from '@egretrill/hosts';
import {credentials, ServerCredentials} from '@grpc/grpc-js';
import {Result} from 'true-myth';
import {ConfigDecoder, EntryHost} from '../../../src/traffic/index.js';
import {LoopMetrics} from '../../../src/traffic/loop-metrics.js';
import {config, route, TestDialect} from './forward-host.js';

export const BALANCER_WAIT_MS = 200;
export const DRAIN_MS = 600;

class JsonDecoder extends ConfigDecoder {
	override decode(source: string): Result<TrafficConfig, never> {
		return Result.ok(JSON.parse(source) as TrafficConfig);
	}
}

export type EntryFixtureOptions = {
	readonly logger?: Logger;
	/** Slots of each target. */
	readonly slots?: number;
	/** Addresses of further targets. */
	readonly otherAddresses?: readonly string[];
};

/** Starts an entry host without control hosts, whose only route leads to the target at the address. */
export async function startEntryHost(address: string, changes: Partial<TrafficRoute> = {}, opts: EntryFixtureOptions = {}): Promise<EntryHost> {
	const {logger = createLogger('test', 'fatal'), slots = 8, otherAddresses = []} = opts;
	const clock = new MonotonicClock();
	const metrics = new Metrics();
	const peerCredentials = {server: ServerCredentials.createInsecure(), client: credentials.createInsecure()};
	const host = new EntryHost({
		settings: {
			role: 'entry', host: 'e1', zone: 'a', seeds: ['127.0.0.1:1'], memoryMb: 350, logLevel: 'info', listen: {callers: '127.0.0.1:0', health: '127.0.0.1:0'}, bounds: {
				retryRatio: 0, retryReserve: 100, coldExcessRatio: 1, orderLeaseMs: 1000, drainMs: DRAIN_MS, balancerWaitMs: BALANCER_WAIT_MS,
			},
		},
		clock,
		random: () => 0,
		logger,
		metrics,
		watch: new LoopWatch(clock, logger, new LoopMetrics(metrics)),
		peers: new ControlPeers({seedIds: [], clock, credentials: peerCredentials}),
		dialect: new TestDialect(),
		decoder: new JsonDecoder(),
	});
	host.applyConfig({version: 1, source: JSON.stringify({...config, routes: [{...route, ...changes}]})});
	host.applyTargets({
		origin: 'o', revision: 1, isWhole: true, targets: [address, ...otherAddresses].map((targetAddress, index) => ({
			ageMs: 0, hasEnded: false, registration: {
				targetId: `t${index + 1}`, startedAtMs: 1, sequence: 1, service: 's', address: targetAddress, zone: 'a', slots, isLeaving: false, coldForMs: 0, models: [], inMemory: [], onDisk: [],
			},
		})),
	}, []);
	host.server.listen(0, '127.0.0.1');
	await once(host.server, 'listening');
	return host;
}

/** The port at which callers reach a host. */
export function getPort({server}: EntryHost): number {
	return (server.address() as AddressInfo).port;
}
