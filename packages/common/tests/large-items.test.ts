import {expect} from 'chai';
import fc from 'fast-check';
import {z} from 'zod';
import {createCodec} from '../src/index.js';

const SEED = 1;
const MAX_ITEM_VALUES = 12;

const plainCodec = createCodec(z.unknown());
const listCodec = createCodec(z.unknown(), Infinity, MAX_ITEM_VALUES);

function countValues(value: unknown): number {
	let count = 1;
	if (Array.isArray(value)) {
		for (const item of value) {
			count += countValues(item);
		}
	} else if (typeof value === 'object' && value !== null) {
		for (const item of Object.values(value)) {
			count += 1 + countValues(item);
		}
	}

	return count;
}

/** What a reader gets: the outermost items of arrays that are too large are null, whatever contains the arrays. */
function withoutLargeItems(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.map(item => countValues(item) > MAX_ITEM_VALUES ? null : withoutLargeItems(item));
	}

	return typeof value === 'object' && value !== null
		? Object.fromEntries(Object.entries(value).map(([key, item]) => [key, withoutLargeItems(item)]))
		: value;
}

describe('messages with large items', () => {
	// Guards against a list that cannot be read, or an item that is read as another, because of the bytes that are cut out.
	it('lose exactly the items that are too large', () => {
		const {value} = fc.letrec(tie => ({
			value: fc.oneof(
				{maxDepth: 5},
				fc.integer(),
				fc.string({maxLength: 40}),
				fc.constant(null),
				fc.array(tie('value'), {maxLength: 20}),
				fc.dictionary(fc.string({minLength: 1}).filter(key => key !== '__proto__'), tie('value'), {maxKeys: 6}),
			),
		}));
		fc.assert(fc.property(value, message => {
			expect(listCodec.decode(plainCodec.encode(message))).to.deep.equal(withoutLargeItems(message));
		}), {seed: SEED, numRuns: 2000});
	});
});
