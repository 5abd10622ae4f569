import type {Registration} from '@egretrill/common';
import {expect} from 'chai';
import {listZoneEngines} from '../../src/traffic/zone-engines.js';

function register(targetId: string, changes: Partial<Registration> = {}): Registration {
	return {
		targetId, startedAtMs: 1, sequence: 1, service: 'm', address: '10.0.0.1:80', zone: 'z1', slots: 24, isLeaving: false, coldForMs: 0, models: [], inMemory: [], onDisk: [], ...changes,
	};
}

describe('listZoneEngines', () => {
	// Guards against engines that are counted although they leave, and against orders for a zone that is out of service or a service without scaling.
	it('sums the engines and the demand of each zone', () => {
		const targets = [
			register('i1'), register('i2'), register('i3', {isLeaving: true}), register('i4', {zone: 'z2'}), register('i5', {zone: 'z3'}), register('p1', {service: 'plain'}),
		];
		const listed = listZoneEngines({
			targets, ranges: new Map([['m', {min: 1, max: 9, bootMs: 8000}]]), classes: new Map(), running: new Map([['i1', 20], ['i2', 10], ['i3', 5], ['i4', 7]]), waiting: new Map([['m', 9]]), zonesOut: ['z3'],
		});
		expect(listed).toMatchSnapshot();
	});
});
