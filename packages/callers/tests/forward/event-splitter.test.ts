import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {EventSplitter} from '../../src/forward/index.js';

const stream = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\nid: 4\nda';

function split(sizes: readonly number[], skipUpTo?: number): unknown {
	const splitter = new EventSplitter();
	const pushed: string[] = [];
	const ids: number[] = [];
	let offset = 0;
	for (const size of sizes) {
		const {bytes, lastEventId} = splitter.push(Buffer.from(stream.slice(offset, offset + size)), skipUpTo);
		offset += size;
		pushed.push(Buffer.from(bytes).toString());
		if (lastEventId !== undefined) {
			ids.push(lastEventId);
		}
	}

	return {pushed: pushed.join('|'), ids, rest: Buffer.from(splitter.getRest()).toString()};
}

describe('EventSplitter', () => {
	// Guards against half an event that a resumed stream would repeat.
	it('passes on whole events only, byte for byte', () => {
		expect([split([stream.length]), split([10, 8, 30, 100]), split([...stream].map(() => 1))]).toMatchSnapshot();
	});

	// Guards against events that come twice when a target begins a resumed stream too early.
	it('leaves out what was delivered before', () => {
		expect(split([stream.length], 2)).toMatchSnapshot();
	});
});
