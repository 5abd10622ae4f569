import {expect} from 'chai';
import {estimateRunMs, spreadDemand} from '../../src/loading/index.js';

function spread(engines: readonly string[], demand: Readonly<Record<string, number>>): unknown {
	const {lostSlots, totalLostSlots, usedSlots} = spreadDemand(engines.map((models, i) => ({targetId: `t${i}`, models: new Set(models)})), new Map(Object.entries(demand)), 64);
	const round = (value: number): number => Math.round(value * 10) / 10;
	return {
		lost: Object.fromEntries([...lostSlots].map(([model, slots]) => [model, round(slots)])), totalLost: round(totalLostSlots), loads: usedSlots.map(used => round(used)),
	};
}

describe('spreadDemand', () => {
	// Guards against a full engine that seems to have separate slots for each of its busy models.
	it('counts the slots that models on a shared engine take from each other', () => {
		expect(spread(['ab', 'c'], {a: 60, b: 30, c: 10})).toMatchSnapshot();
	});

	// Guards against additional copies that seem to be needed although other engines with the model have free slots.
	it('moves demand to the less loaded engines', () => {
		expect(spread(['ab', 'a'], {a: 30, b: 25})).toMatchSnapshot();
	});

	// Guards against a loss that leaves out models without a copy.
	it('counts the demand for a model without a copy as lost', () => {
		expect(spread(['a'], {a: 5, b: 7})).toMatchSnapshot();
	});
});

describe('estimateRunMs', () => {
	// Guards against requests for short answers that count as much as requests for long ones.
	it('depends on the tokens of a request', () => {
		expect([estimateRunMs(715, 280), estimateRunMs(383, 45), estimateRunMs(0, 0)].map(ms => Math.round(ms))).toMatchSnapshot();
	});
});
