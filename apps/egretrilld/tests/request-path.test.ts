import {StandInEngine, StandInService} from '@egretrill/stand-ins';
import {
	createLocalConfig, recordExchange, Fleet, getLocalKey, type RecordedAnswer, waitFor,
} from '@egretrill/testkit';
import {expect} from 'chai';

const zones = ['zone-a', 'zone-b'];
const resident = [{model: 'inscription', version: 'v1', adapters: ['plaque']}];

const yardKey = {authorization: `Bearer ${getLocalKey('yard')}`};

describe('the path of a request through two daemons', () => {
	let fleet: Fleet;
	let engine: StandInEngine;
	let spare: StandInEngine;
	let registry: StandInService;
	let ordering: StandInService;

	before(async () => {
		fleet = await Fleet.start({fleet: 'local', zones, config: createLocalConfig(zones)});
		const hosts = [...fleet.getTargetAddresses('zone-a')];
		engine = await new StandInEngine({
			targetId: 'engine-1', zone: 'zone-a', hosts, resident,
		}).start();
		spare = await new StandInEngine({
			targetId: 'engine-2', zone: 'zone-a', hosts, resident: [],
		}).start();
		registry = await new StandInService({
			targetId: 'registry-1', zone: 'zone-a', service: 'registry', hosts,
		}).start();
		ordering = await new StandInService({
			targetId: 'ordering-1', zone: 'zone-a', service: 'ordering', hosts,
		}).start();
		// The second host receives the targets in the zone summary of the first one.
		await waitFor('the targets', async () => {
			const answers = await Promise.all([send('/public/ready', '', {}), chat({})]);
			return answers.every(answer => answer.status === 200) || undefined;
		});
	});

	after(async () => {
		await Promise.all([engine, spare, registry, ordering].map(async target => target.stop()));
		await fleet.stop();
	});

	async function send(path: string, body: string, headers: Record<string, string> = yardKey, host = 1): Promise<RecordedAnswer> {
		return recordExchange(`http://${fleet.getHost(host).addresses.callers}${path}`, {body, headers});
	}

	async function chat(fields: Record<string, unknown>, headers?: Record<string, string>): Promise<RecordedAnswer> {
		return send('/v1/chat/completions', JSON.stringify({
			model: 'inscription', max_tokens: 3, messages: [{role: 'user', content: 'Draft.'}], ...fields,
		}), headers);
	}

	it('returns a complete streamed completion', async () => {
		expect(await chat({stream: true})).toMatchSnapshot();
	});

	it('returns a completion that is not streamed', async () => {
		expect(await chat({})).toMatchSnapshot();
	});

	it('returns the answer of a service call', async () => {
		const answer = await send('/registry/mark/7', '');
		expect({...answer, body: answer.body.replace(/"run":\d+/v, '"run":N')}).toMatchSnapshot();
	});

	it('never sends the key to a target', async () => {
		await chat({stream: true}, {authorization: `Bearer ${getLocalKey('yard')}`, 'x-api-key': getLocalKey('yard'), cookie: getLocalKey('yard')});
		await send('/registry/mark/7', '');
		expect(JSON.stringify([engine.lastHeaders, registry.lastHeaders])).not.to.include(getLocalKey('yard'));
		expect(JSON.stringify(fleet.hosts.map(host => [host.log, host.errors]))).not.to.include(getLocalKey('yard'));
	});

	it('refuses requests that it cannot serve and reports that they did not run', async () => {
		expect({
			'unknown model': await chat({model: 'nothing'}),
			'unknown adapter': await chat({adapter: 'nothing'}),
			'bad key': await chat({}, {authorization: 'Bearer wrong'}),
			'missing key': await chat({}, {}),
			'body too large': await send('/registry/mark/7', 'x'.repeat(1_100_000)),
			'broken JSON': await send('/v1/chat/completions', '{"model":'),
			'missing messages': await send('/v1/chat/completions', '{"model":"inscription"}'),
			'unknown route': await send('/nowhere', ''),
			'no idempotency key': await send('/orders', 'plaque'),
		}).toMatchSnapshot();
	});

	it('resumes a broken stream on a target that is still alive', async () => {
		engine.faults = {breakAfterChunks: 2};
		expect(await chat({stream: true, max_tokens: 5})).toMatchSnapshot();
	});

	it('never delivers a chunk of another request', async () => {
		engine.faults = {crossAtChunk: 1};
		const answer = await chat({stream: true});
		engine.faults = {};
		expect(answer).toMatchSnapshot();
	});

	it('ends a stream with a clear error when its target dies', async () => {
		const failingEngine = await new StandInEngine({
			targetId: 'engine-dying', zone: 'zone-a', hosts: [...fleet.getTargetAddresses('zone-a')], resident, slots: 64, tokenIntervalMs: 20,
		}).start();
		await engine.stop();
		await waitFor('the new engine', async () => {
			const {status} = await chat({});
			return status === 200 || undefined;
		});
		const answer = chat({stream: true, max_tokens: 500});
		await waitFor('the first tokens', () => failingEngine.sentChunks > 3 || undefined);
		await failingEngine.stop();
		const {body, ...head} = await answer;
		expect({...head, end: body.split('\n\n').filter(event => !event.startsWith('data:') && !event.startsWith(':')), hasEndMarker: body.includes('[DONE]')}).toMatchSnapshot();
	});
});
