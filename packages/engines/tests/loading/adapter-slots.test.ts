import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {AdapterSlots, type AdapterSlotChoice, type HeldAdapter} from '../../src/loading/index.js';
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

function chooseSlot(places: AdapterSlots, count = 2): AdapterSlotChoice {
	return places.chooseSlot('t1', held, count, ({adapter}) => demand[adapter] ?? 0);
}

describe('AdapterSlots', () => {
	// Guards against an unload that waits for the runs of an adapter in use and blocks the engine meanwhile.
	it('evicts the adapter with the least demand, but none in use', () => {
		const clock = new ManualClock();
		const places = new AdapterSlots(clock);
		const seen = [chooseSlot(places, 3), chooseSlot(places)];
		places.recordUse('h1', [['t1', 'm', 'a2', 1], ['t2', 'm', 'a1', 1]]);
		seen.push(chooseSlot(places));
		places.recordUse('h2', [['t1', 'm', 'a1', 2]]);
		seen.push(chooseSlot(places));
		places.recordUse('h1', []);
		seen.push(chooseSlot(places));
		clock.advance(2000);
		seen.push(chooseSlot(places));
		expect(seen).toMatchSnapshot();
	});

	// Guards against adapters that replace each other before the requests that waited for them arrive.
	it('keeps an adapter for a while after its load', () => {
		const clock = new ManualClock();
		const places = new AdapterSlots(clock);
		places.recordLoad('t1', {model: 'm', adapter: 'a2'});
		const atOnce = chooseSlot(places);
		clock.advance(500);
		expect({atOnce, later: chooseSlot(places)}).toMatchSnapshot();
	});

	// Guards against a leader that walks over the reports of all hosts for each engine at which it weighs an adapter.
	it('reads the report of a host once, not for each engine', () => {
		const count = (targets: number): number => {
			const places = new AdapterSlots(new ManualClock());
			for (let i = 0; i < 80; i++) {
				places.recordUse(`h${i}`, CountedList.from(Array.from({length: 10}, (_, k): AdapterUse => [`t${k}`, 'm', 'a1', 1])));
			}

			CountedList.visited = 0;
			for (let i = 0; i < targets; i++) {
				places.chooseSlot(`t${i}`, held, 2, () => 0);
			}

			return CountedList.visited;
		};

		expect({of1: count(1), of20: count(20)}).toMatchSnapshot();
	});
});
