import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {type AdapterSlotChoice, AdapterSlots, type HeldAdapter} from '../../src/loading/index.js';
import type {AdapterUse} from '../../src/registry/index.js';

/** A list that counts how many of its items are visited. */
class CountedList<T> extends Array<T> {
	static visited = 0;

	override * [Symbol.iterator](): ArrayIterator<T> {
		for (let i = 0; i < this.length; i++) {
			CountedList.visited += 1;
			yield this[i]!;
		}
	}
}

const held: readonly HeldAdapter[] = ['a1', 'a2'].map(adapter => ({model: 'm', adapter}));
const demand: Readonly<Record<string, number>> = {a1: 5, a2: 1};

function chooseSlot(slots: AdapterSlots, count = 2): AdapterSlotChoice {
	return slots.chooseSlot('t1', held, count, ({adapter}) => demand[adapter] ?? 0);
}

describe('AdapterSlots', () => {
	// Guards against evicting an adapter in use: its unload waits for the running requests and blocks the engine meanwhile.
	it('evicts the adapter with the least demand, but none in use', () => {
		const clock = new ManualClock();
		const slots = new AdapterSlots(clock);
		const seen = [chooseSlot(slots, 3), chooseSlot(slots)];
		slots.recordUse('h1', [['t1', 'm', 'a2', 1], ['t2', 'm', 'a1', 1]]);
		seen.push(chooseSlot(slots));
		slots.recordUse('h2', [['t1', 'm', 'a1', 2]]);
		seen.push(chooseSlot(slots));
		slots.recordUse('h1', []);
		seen.push(chooseSlot(slots));
		clock.advance(2000);
		seen.push(chooseSlot(slots));
		expect(seen).toMatchSnapshot();
	});

	// Guards against adapters that evict each other before the requests that waited for them arrive.
	it('keeps an adapter for a while after its load', () => {
		const clock = new ManualClock();
		const slots = new AdapterSlots(clock);
		slots.recordLoad('t1', {model: 'm', adapter: 'a2'});
		const atOnce = chooseSlot(slots);
		clock.advance(500);
		expect({atOnce, later: chooseSlot(slots)}).toMatchSnapshot();
	});

	// Guards against iterating over the reports of all hosts for each engine that is considered for an adapter.
	it('reads the report of a host once, not for each engine', () => {
		const count = (targets: number): number => {
			const slots = new AdapterSlots(new ManualClock());
			for (let i = 0; i < 80; i++) {
				slots.recordUse(`h${i}`, CountedList.from(Array.from({length: 10}, (_, k): AdapterUse => [`t${k}`, 'm', 'a1', 1])));
			}

			CountedList.visited = 0;
			for (let i = 0; i < targets; i++) {
				slots.chooseSlot(`t${i}`, held, 2, () => 0);
			}

			return CountedList.visited;
		};

		expect({of1: count(1), of20: count(20)}).toMatchSnapshot();
	});
});
