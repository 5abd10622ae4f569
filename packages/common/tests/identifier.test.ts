import {expect} from 'chai';
import {z} from 'zod';
import {ApiKey, createCodec} from '../src/index.js';

const counts = createCodec(z.record(ApiKey.shape.id, z.number()));

describe('names that hosts keep records under', () => {
	// Guards against a host or zone whose name does not arrive at other hosts, so that its reports count for nobody.
	it('takes only names that arrive at other hosts as they are', () => {
		const outcomes = Object.fromEntries(['host-1', '__proto_', 'constructor', 'toString', '__proto__'].map(name => {
			const isAccepted = ApiKey.shape.id.safeParse(name).success;
			const arrived = isAccepted && Object.keys(counts.decode(counts.encode(Object.fromEntries([[name, 1]]))));
			return [`name ${name}`, {isAccepted, arrived}];
		}));
		expect(outcomes).toMatchSnapshot();
	});

	// A negative zero arrives as zero, which compares and prints alike.
	it('keeps the value of a negative zero', () => {
		const {a} = counts.decode(counts.encode({a: -0}));
		expect({isEqual: a === 0, text: JSON.stringify({before: -0, after: a})}).toMatchSnapshot();
	});
});
