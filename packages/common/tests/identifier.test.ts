import {expect} from 'chai';
import {z} from 'zod';
import {ApiKey, createCodec} from '../src/index.js';

const countsCodec = createCodec(z.record(ApiKey.shape.id, z.number()));

describe('names used as keys of messages', () => {
	// Guards against a host or zone whose name is lost in decoding, so that other hosts ignore its reports.
	it('accepts only names that other hosts receive unchanged', () => {
		const outcomes = Object.fromEntries(['host-1', '__proto_', 'constructor', 'toString', '__proto__'].map(name => {
			const isAccepted = ApiKey.shape.id.safeParse(name).success;
			const arrived = isAccepted && Object.keys(countsCodec.decode(countsCodec.encode(Object.fromEntries([[name, 1]]))));
			return [`name ${name}`, {isAccepted, arrived}];
		}));
		expect(outcomes).toMatchSnapshot();
	});

	// A negative zero is decoded as zero, which compares equal and prints the same.
	it('decodes a negative zero to an equal value', () => {
		const {a} = countsCodec.decode(countsCodec.encode({a: -0}));
		expect({isEqual: a === 0, text: JSON.stringify({before: -0, after: a})}).toMatchSnapshot();
	});
});
