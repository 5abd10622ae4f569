import {Buffer} from 'node:buffer';
import process from 'node:process';
import {expect} from 'chai';
import {EventSplitter} from '../../src/forward/index.js';

const stream = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\nid: 4\nda';

const LONG_EVENT_BYTES = 262_144;
/** Ten times what the work takes on a busy machine; searching all bytes with each piece takes over ten seconds. */
const MAX_CPU_MS = 3000;

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

	return {pushed: pushed.join('|'), ids, rest: Buffer.from(splitter.getIncompleteEvent()).toString()};
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

	// Guards against work that grows with the square of an event's length, which a target that sends small pieces turns into a standstill.
	it('searches each byte of a long event once', () => {
		const splitter = new EventSplitter();
		const piece = Buffer.from('x');
		const before = process.cpuUsage();
		for (let sent = 0; sent < LONG_EVENT_BYTES; sent += 1) {
			splitter.push(piece, undefined);
		}

		const ends = ['\n', '\r', '\n'].map(end => splitter.push(Buffer.from(end), undefined).bytes.length);
		const {user, system} = process.cpuUsage(before);
		expect({ends, rest: splitter.getIncompleteEvent().length, isFast: (user + system) / 1000 < MAX_CPU_MS}).toMatchSnapshot();
	}).timeout(60_000);
});
