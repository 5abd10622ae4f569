import {SimCluster} from '@egretrill/hosts/testing';
import {expect} from 'chai';
import {getServedState} from '../../src/traffic/index.js';

const VERSIONS = 300;

describe('state that a control host serves', () => {
	// Guards against the configuration of an old snapshot, and a zone that takes requests again, in the answers of a restarted host.
	it('is none after a restart until the log has been replayed', async () => {
		const cluster = new SimCluster({seed: 3});
		cluster.startAll();
		const leader = await cluster.waitForLeader(({node}) => node.status().members.every(({role}) => role === 'voter'));
		for (let version = 1; version <= VERSIONS; version++) {
			await cluster.runUntilSettled(leader.node.propose({kind: 'putTraffic', traffic: {version, source: '{}'}}));
		}

		await cluster.runUntilSettled(leader.node.propose({kind: 'setZoneService', zone: 'z1', isInService: false}));
		await cluster.clock.run(1000);
		cluster.stopAll();
		cluster.startAll();
		const [restarted = leader] = cluster.processes.values();
		await cluster.clock.run(100);
		const atFirst = {snapshot: restarted.state.getTraffic()?.version, served: getServedState({...restarted, getTimeOfDayMs: () => 0}, {configVersion: 0})};
		await cluster.waitForLeader();
		await cluster.clock.run(1000);
		const {config, zonesOut} = getServedState({...restarted, getTimeOfDayMs: () => 0}, {configVersion: 0});
		expect([atFirst, config?.version, zonesOut]).to.deep.equal([{snapshot: 252, served: {zonesOut: []}}, VERSIONS, ['z1']]);
		// Hosts that receive configurations in parts get the version alone, and only if they have an older one.
		const served = [0, VERSIONS].map(configVersion => getServedState({...restarted, getTimeOfDayMs: () => 0}, {configVersion, receivesParts: true}));
		expect(served.map(state => [state.config, state.configVersion])).to.deep.equal([[undefined, VERSIONS], [undefined, undefined]]);
		cluster.stopAll();
	});
});
