import {expect} from 'chai';
import {MemoryBudget, type MemoryHolding, ManualClock} from '../src/index.js';

const KIB = 1024;
const LIMIT_KIB = 1024;

/** Grows a holding by a number of KiB, completes or releases it, or lets time pass. */
type Step = readonly [name: string, action: number | 'complete' | 'release'] | readonly ['wait', number];

/** Plays steps and lists each growth that found no room and each eviction in its place. */
function play(steps: readonly Step[]): {readonly events: readonly string[]; readonly heldKib: number} {
	const clock = new ManualClock();
	const budget = new MemoryBudget(clock, LIMIT_KIB * KIB);
	const holdings = new Map<string, MemoryHolding>();
	const events: string[] = [];
	for (const [name, action] of steps) {
		if (name === 'wait') {
			clock.advance(Number(action));
			continue;
		}

		const holding = holdings.get(name) ?? budget.open({
			onEvicted() {
				events.push(`${name} is evicted`);
			},
		});
		holdings.set(name, holding);
		if (typeof action === 'number') {
			events.push(`${name} ${holding.grow(action * KIB) ? 'grows' : 'finds no room'}`);
		} else {
			holding[action]();
		}
	}

	return {events, heldKib: budget.heldBytes / KIB};
}

const histories: ReadonlyArray<readonly [name: string, steps: readonly Step[]]> = [
	['evicts the holding that is large and idle, not the one that grows', [['idle', 400], ['wait', 1000], ['new', 300], ['new', 300]]],
	['evicts no holding that is complete', [['running', 700], ['running', 'complete'], ['wait', 1000], ['new', 300]]],
	['evicts nothing when that would not make enough room', [['running', 600], ['running', 'complete'], ['idle', 100], ['wait', 1000], ['new', 400]]],
	['lets a large holding that has grown last give way to idle small ones', [['small', 10], ['large', 700], ['wait', 1], ['large', 300]]],
	['keeps a part for small holdings', [['running', 768], ['running', 'complete'], ['large', 65], ['small', 64]]],
	['evicts large holdings for small ones', [['idle', 700], ['s1', 64], ['s2', 64], ['s3', 64], ['s4', 64], ['wait', 10], ['s5', 64], ['s6', 64], ['s7', 64]]],
	['counts nothing after a release', [['first', 700], ['first', 'release'], ['first', 'release'], ['second', 700]]],
];

describe('MemoryBudget', () => {
	// Guards against holdings that each keep a bound and together exhaust the memory of the process.
	for (const [name, steps] of histories) {
		it(name, () => {
			expect(play(steps)).toMatchSnapshot();
		});
	}

	// Guards against a body that is read although its declared length finds no room.
	it('tells whether a declared length finds room beside idle holdings', () => {
		const clock = new ManualClock();
		const budget = new MemoryBudget(clock, LIMIT_KIB * KIB);
		budget.open({onEvicted: () => undefined}).grow(700 * KIB);
		const before = budget.hasRoom(500 * KIB, 1000);
		clock.advance(2000);
		expect({before, after: budget.hasRoom(500 * KIB, 1000), whole: budget.hasRoom(LIMIT_KIB * KIB, 1000)}).to.deep.equal({before: false, after: true, whole: false});
	});
});
