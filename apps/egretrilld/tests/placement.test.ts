import {StandInEngine} from '@egretrill/stand-ins';
import {
	createLocalConfig, recordExchange, Fleet, getLocalKey, OPERATOR_KEY, waitFor,
} from '@egretrill/testkit';
import {expect} from 'chai';
import got from 'got';

const zones = ['zone-a'];
const sizesMb = {inscription: 20_000, plaque: 200};

describe('placement by a fleet of processes', () => {
	let fleet: Fleet;
	let engine: StandInEngine;

	before(async () => {
		fleet = await Fleet.start({fleet: 'local', zones: [...zones, ...zones], config: createLocalConfig(zones)});
		engine = await new StandInEngine({
			targetId: 'engine-1', zone: 'zone-a', hosts: [...fleet.getTargetAddresses('zone-a')], sizesMb,
		}).start();
	});

	after(async () => {
		await engine.stop();
		await fleet.stop();
	});

	async function draft(fields: Record<string, unknown>): Promise<number> {
		const {status} = await recordExchange(`http://${fleet.getHost(1).addresses.callers}/v1/chat/completions`, {
			headers: {authorization: `Bearer ${getLocalKey('yard')}`},
			body: JSON.stringify({
				model: 'inscription', max_tokens: 2, messages: [{role: 'user', content: 'Draft.'}], ...fields,
			}),
		});
		return status;
	}

	function getOrders(kind: string): number {
		return fleet.hosts.flatMap(host => host.log).filter(({msg, order}) => msg === 'Order sent.' && (order as {kind: string}).kind === kind).length;
	}

	// Guards against a model without a copy that is never loaded, and against waiting requests that the placement plan ignores.
	it('loads a model with waiting requests and shows their demand in the explanation at every host', async () => {
		const waiting = draft({});
		const demands = await waitFor('the demand at both hosts', async () => {
			const explained = await Promise.all(fleet.hosts.map(async ({addresses}) => got(`http://${addresses.admin}/v1/placement/inscription`, {
				headers: {authorization: `Bearer ${OPERATOR_KEY}`}, throwHttpErrors: false,
			}).json<{demand?: number}>()));
			return explained.every(({demand = 0}) => demand > 0) ? explained.map(({demand = 0}) => demand > 0) : undefined;
		});
		expect({
			demands, status: await waiting, loads: getOrders('load-model'), resident: engine.state.residents,
		}).toMatchSnapshot();
	});

	// Guards against a request for an adapter without a resident copy that waits for the next placement plan, or forever.
	it('loads an adapter that is not resident on any target for the request that needs it', async () => {
		const statuses = await Promise.all([draft({adapter: 'plaque'}), draft({adapter: 'plaque', stream: true})]);
		const asked = fleet.hosts.some(host => host.log.some(({msg}) => msg === 'Adapter requested.'));
		expect({
			statuses, asked, loads: getOrders('load-adapter'), resident: engine.state.residents,
		}).toMatchSnapshot();
	});
});
