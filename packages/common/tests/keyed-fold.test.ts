import {expect} from 'chai';
import {createRandom, KeyedFold} from '../src/index.js';

function add(first: number, second: number): number {
	return first + second;
}

function addAll(values: Iterable<number>): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
}

describe('KeyedFold', () => {
	// Guards against sums that omit a key or count it twice after the number of keys has grown or a value has changed.
	it('returns the same as a fold over all keys', () => {
		const random = createRandom(7);
		const values = new Map<string, number>();
		const sum = new KeyedFold(add);
		const highest = new KeyedFold(Math.max);
		for (let i = 0; i < 500; i++) {
			const key = `k${Math.floor(random() * (1 + (i / 4)))}`;
			const value = Math.floor(random() * 100);
			values.set(key, value);
			sum.set(key, value);
			highest.set(key, value);
			const others = [...values].filter(([other]) => other !== key).map(([, other]) => other);
			expect(sum.getAll()).to.equal(addAll(values.values()));
			expect(sum.getOthers(key)).to.equal(addAll(others));
			expect(highest.getAll()).to.equal(Math.max(...values.values()));
			expect(highest.getOthers(key)).to.equal(Math.max(0, ...others));
		}

		expect({keys: values.size, unknown: sum.getOthers('unknown') === sum.getAll()}).toMatchSnapshot();
	});

	// Guards against a sum that retains the rounding errors of large values after all values have become small.
	it('keeps no rounding errors of earlier values', () => {
		const sum = new KeyedFold(add);
		for (let i = 0; i < 1000; i++) {
			sum.set(`k${i % 7}`, 1e9 / (i + 3));
		}

		for (let i = 0; i < 7; i++) {
			sum.set(`k${i}`, 0);
		}

		expect(sum.getAll()).toMatchSnapshot();
	});

	// Guards against an iteration over all keys at each update.
	it('combines only a few values for an update or a query among many keys', () => {
		const countCombinations = (keys: number): {readonly change: number; readonly question: number} => {
			let combinations = 0;
			const fold = new KeyedFold((first, second) => {
				combinations += 1;
				return first + second;
			});
			for (let i = 0; i < keys; i++) {
				fold.set(`k${i}`, i);
			}

			combinations = 0;
			fold.set('k3', 1);
			const change = combinations;
			fold.getAll();
			fold.getOthers('k3');
			return {change, question: combinations - change};
		};

		expect({of8: countCombinations(8), of80: countCombinations(80), of1000: countCombinations(1000)}).toMatchSnapshot();
	});
});
