import {expect} from 'chai';
import got from 'got';
import {StandInEngine, StandInWeightStore} from '../src/index.js';

describe('stand-in weight store', () => {
	it('refuses loads above its rate, and the engine does not report the refused model as resident', async () => {
		const store = await new StandInWeightStore({loadsPerSecond: 1, concurrentLoads: 1, loadMs: 5}).start();
		const engine = await new StandInEngine({
			targetId: 'engine-1', zone: 'zone-a', hosts: [], weightStore: store.address,
		}).start();
		for (const model of ['first', 'second']) {
			await got.post(`http://${engine.address}/orders`, {
				json: {
					orderId: model, fencing: 1, expiresInMs: 1000, kind: 'load-model', model, version: 'v1',
				},
			});
		}

		while (store.refused === 0 || engine.state.residents.length === 0) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		expect({resident: engine.state.residents, refused: store.refused, peakConcurrent: store.peakConcurrent}).toMatchSnapshot();
		await engine.stop();
		await store.stop();
	});
});
