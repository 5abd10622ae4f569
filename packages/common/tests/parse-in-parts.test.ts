import {expect} from 'chai';
import {z} from 'zod';
import {parseInParts} from '../src/index.js';

const DEPTH = 100_000;

describe('parseInParts', () => {
	// Guards against a deeply nested value that exhausts the stack while its containers are counted.
	it('parses values that are nested deeply', () => {
		const deepArray: unknown = JSON.parse(`${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`);
		const deepMap: unknown = JSON.parse(`${'{"a":'.repeat(DEPTH)}0${'}'.repeat(DEPTH)}`);
		const schema = z.object({names: z.array(z.string())});
		for (const deep of [deepArray, deepMap]) {
			expect('faults' in parseInParts(schema, {names: deep})).to.equal(true);
			expect('faults' in parseInParts(schema, deep)).to.equal(true);
			expect(parseInParts(schema, {names: ['a'], other: deep})).to.deep.equal({data: {names: ['a']}});
		}
	});
});
