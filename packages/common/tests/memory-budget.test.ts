import {expect} from 'chai';
import {MemoryBudget, type MemoryHolding, ManualClock} from '../src/index.js';

const KIB = 1024;
const LIMIT_KIB = 1024;

/** Grows a holding by a number of KiB, adds KiB that are in memory already, completes or releases it, or lets time pass. A name that begins with `optional` is an optional holding. */
type Step = readonly [name: string, action: number | {readonly addKib: number} | 'complete' | 'release'] | readonly ['wait', number];

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
			isOptional: name.startsWith('optional'),
			onEvicted() {
				events.push(`${name} is evicted`);
			},
		});
		holdings.set(name, holding);
		if (typeof action === 'number') {
			events.push(`${name} ${holding.grow(action * KIB) ? 'grows' : 'finds no room'}`);
		} else if (typeof action === 'object') {
			holding.add(action.addKib * KIB);
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
	['lets optional holdings use half and evict nothing', [['idle', 300], ['wait', 1000], ['optional 1', 400], ['optional 2', 113], ['optional 2', 50], ['new', 300]]],
	['evicts nothing in favour of what exceeds the budget alone', [['idle', 300], ['wait', 1000], ['new', 1100]]],
	['makes room for what is in memory already', [['running', 700], ['running', 'complete'], ['unread 1', {addKib: 200}], ['wait', 10], ['unread 2', {addKib: 150}], ['unread 3', {addKib: 2000}]]],
	['does not grow after an eviction', [['idle', 700], ['wait', 1000], ['new', 300], ['idle', 1]]],
	['counts nothing after a release', [['first', 700], ['first', 'release'], ['first', 'release'], ['first', 10], ['second', 700]]],
];

describe('MemoryBudget', () => {
	// Guards against holdings that each keep a bound and together exhaust the memory of the process.
	for (const [name, steps] of histories) {
		it(name, () => {
			expect(play(steps)).toMatchSnapshot();
		});
	}

	// Guards against bytes that count for good because a holding is released while others give way to it.
	it('counts nothing of a holding that is released while it grows', () => {
		const clock = new ManualClock();
		const budget = new MemoryBudget(clock, LIMIT_KIB * KIB);
		const evicted: string[] = [];
		const grown = budget.open({onEvicted: () => evicted.push('grown')});
		const small = budget.open({onEvicted: () => evicted.push('small')});
		const large = budget.open({
			onEvicted() {
				evicted.push('large');
				small.release();
				grown.release();
			},
		});
		small.grow(10 * KIB);
		large.grow(600 * KIB);
		clock.advance(1000);
		expect({grows: grown.grow(760 * KIB), evicted, heldBytes: budget.heldBytes}).to.deep.equal({grows: false, evicted: ['large'], heldBytes: 0});
	});

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
