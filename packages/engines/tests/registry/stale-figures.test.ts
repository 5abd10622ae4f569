import {expect} from 'chai';
import {StaleHosts} from './support/stale-hosts.js';

describe('Hosts with stale figures of the targets', () => {
	// Guards against 70 hosts that choose the same target by the same figures, and against streams at slow targets while fast ones are idle.
	for (const perSecond of [150, 250, 350]) {
		it(`fill the slots of the targets evenly at ${perSecond} streams per second`, () => {
			expect({before: new StaleHosts(false, perSecond).run(), after: new StaleHosts(true, perSecond).run()}).toMatchSnapshot();
		});
	}
});
