import {mkdtemp, rename, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	createLogger, createRandom, LoopMeter, LoopWatch, MonotonicClock, type Fault, type TrafficConfig,
} from '@egretrill/common';
import {EngineOrders, type EngineReport} from '@egretrill/engines';
import {appendEntriesMethod, type Method} from '@egretrill/hosts';
import {waitFor} from '@egretrill/testkit';
import {credentials, ServerCredentials} from '@grpc/grpc-js';
import {expect} from 'chai';
import {Result} from 'true-myth';
import {
	ConfigDecoder, ControlHost, ControlSettings, readTrafficMethod,
} from '../../src/traffic/index.js';

class NoOrders extends EngineOrders {
	override async send(): Promise<'not-sent'> {
		return 'not-sent';
	}

	override async getReport(): Promise<EngineReport | undefined> {
		return undefined;
	}
}

class NoDecoder extends ConfigDecoder {
	override decode(): Result<TrafficConfig, readonly Fault[]> {
		return Result.err([]);
	}
}

class NoMeter extends LoopMeter {
	override recordDelay(): void {
		// Not measured here.
	}

	override recordPlan(): void {
		// Not measured here.
	}
}

function createHost(dataDir: string): ControlHost {
	const clock = new MonotonicClock();
	const logger = createLogger('test', 'fatal');
	return new ControlHost({
		settings: ControlSettings.parse({
			role: 'control', host: 'h1', zone: 'z', seeds: ['127.0.0.1:1'], listen: {control: '127.0.0.1:2', peers: '127.0.0.1:1'}, dataDir, isFirstStart: true, bounds: {
				retryRatio: 0, retryReserve: 0, coldExcessRatio: 1, orderLeaseMs: 300, drainMs: 0, balancerWaitMs: 0,
			},
		}),
		clock,
		random: createRandom(1),
		logger,
		watch: new LoopWatch(clock, logger, new NoMeter()),
		credentials: {server: ServerCredentials.createInsecure(), client: credentials.createInsecure()},
		decoder: new NoDecoder(),
		orders: new NoOrders(),
	});
}

async function call<Req, Res>(host: ControlHost, method: Method<Req, Res>, req: Req): Promise<Res | undefined> {
	const handler = host.getHandlers().find(bound => bound.path === method.path);
	const encode = await handler?.handle(method.req.encode(req));
	return encode && method.res.decode(encode());
}

async function isLeading(host: ControlHost): Promise<true | undefined> {
	const answer = await call(host, readTrafficMethod, {});
	return answer?.isCurrent === true ? true : undefined;
}

/** Makes the member store a higher term by a message of another leader. */
async function announceTerm(host: ControlHost): Promise<void> {
	await call(host, appendEntriesMethod, {
		leaderId: 'h2', term: 99, prevIndex: 0, prevTerm: 0, entries: [], commitIndex: 0,
	});
}

describe('a control host whose disk refuses a write', () => {
	let dataDir = '';

	beforeEach(async () => {
		dataDir = await mkdtemp(path.join(tmpdir(), 'egretrill-control-'));
	});

	afterEach(async () => {
		await rm(dataDir, {recursive: true});
	});

	// Guards against a member that stays out of the log for good after its disk was full for seconds, so that the loss of one more disk ends the log.
	it('ends, so that the platform starts it again', async () => {
		const host = createHost(dataDir);
		const stopper = new AbortController();
		let failure: unknown;
		const run = async (): Promise<void> => {
			try {
				await host.run(stopper.signal);
			} catch (err: unknown) {
				failure = err;
			}
		};

		const running = run();
		await waitFor('the first leader', async () => isLeading(host));
		await rename(path.join(dataDir, 'log'), path.join(dataDir, 'gone'));
		try {
			await announceTerm(host);
		} catch {
			// The write fails.
		}

		const timeout = setTimeout(() => {
			stopper.abort();
		}, 3000);
		await running;
		clearTimeout(timeout);
		expect(failure).to.be.instanceOf(Error);
	});
});
