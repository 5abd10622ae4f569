import {expect} from 'chai';
import {ManualClock} from '@egretrill/common';
import {ControlGossip, type ControlGossipOptions} from '../../src/traffic/control-gossip.js';

describe('ControlGossip', () => {
	// Guards against log entries at which a member of an earlier build would end.
	it('knows whether all members of the log read the entries of the duties', () => {
		const members = ['h1', 'h2', 'h3'].map(id => ({id, identity: id, role: 'voter' as const}));
		const opts: Partial<ControlGossipOptions> = {clock: new ManualClock(), hostId: 'h1', node: {status: () => ({members})} as unknown as ControlGossipOptions['node']};
		const gossip = new ControlGossip(opts as ControlGossipOptions);
		const seen = [gossip.canRecordDuties()];
		gossip.recordContact('h2', 'z', true);
		gossip.recordContact('h4', 'z');
		seen.push(gossip.canRecordDuties());
		gossip.recordContact('h3', 'z');
		seen.push(gossip.canRecordDuties());
		gossip.recordContact('h3', 'z', true);
		seen.push(gossip.canRecordDuties());
		expect(seen).to.deep.equal([true, true, false, true]);
	});
});
