import {expect} from 'chai';
import {getSlotLimit} from '../../src/registry/slot-limit.js';

describe('getSlotLimit', () => {
	// Guards against plain targets, which queue half of their slots already, that are sent still more in a shortage.
	it('sends requests beyond the slots of engines only', () => {
		expect({
			engine: getSlotLimit({ownSlots: 12, batchSlots: 12, beyondSlots: 3}),
			plain: getSlotLimit({ownSlots: 6, batchSlots: undefined, beyondSlots: 3}),
			plainWithoutShare: getSlotLimit({ownSlots: 6, batchSlots: undefined, beyondSlots: -4}),
		}).to.deep.equal({engine: 15, plain: 9, plainWithoutShare: 5});
	});
});
