import {Buffer} from 'node:buffer';
import process from 'node:process';
import {ManualClock, MemoryBudget} from '@egretrill/common';
import {expect} from 'chai';
import {
	EMPTY_EVENTS, EventOrder, EventSplitter, MAX_EMPTY_EVENTS,
} from '../../src/forward/index.js';

const stream = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\nid: 4\nda';

const holding = new MemoryBudget(new ManualClock(), Number.POSITIVE_INFINITY).open({onEvicted: () => undefined});

const FIELD_START = 'data: ';
const LONG_EVENT_BYTES = 262_144;
/** Ten times the CPU time measured on a busy machine; searching all buffered bytes with each chunk takes over ten seconds. */
const MAX_CPU_MS = 3000;

function split(sizes: readonly number[], skipUpTo?: number): unknown {
	const splitter = new EventSplitter(holding);
	const order = new EventOrder(skipUpTo);
	const pushed: string[] = [];
	const ids: number[] = [];
	let offset = 0;
	for (const size of sizes) {
		const previousId = order.lastEventId;
		const {bytes} = splitter.push(Buffer.from(stream.slice(offset, offset + size)), order);
		offset += size;
		pushed.push(Buffer.from(bytes).toString());
		if (order.lastEventId !== undefined && order.lastEventId !== previousId) {
			ids.push(order.lastEventId);
		}
	}

	return {pushed: pushed.join('|'), ids, rest: Buffer.from(splitter.getIncompleteEvent()).toString()};
}

describe('EventSplitter', () => {
	// Guards against relaying a partial event that a resumed stream would repeat.
	it('returns only complete events, byte for byte', () => {
		expect([split([stream.length]), split([10, 8, 30, 100]), split([...stream].map(() => 1))]).toMatchSnapshot();
	});

	// Guards against duplicate events when a target resumes a stream too early.
	it('skips events that were delivered before', () => {
		expect(split([stream.length], 2)).toMatchSnapshot();
	});

	// Guards against a held event that is lost, or overwritten by the next chunk.
	it('returns the first event of a continuation with the second one that shows its step', () => {
		const events = ['id: 5\ndata: a\n\n', ': note\n\n', 'id: 8\ndata: b\n\n', 'id: 11\ndata: c\n\n'];
		const order = new EventOrder(undefined);
		new EventSplitter(holding).push(Buffer.from('id: 1\ndata: x\n\nid: 2\ndata: y\n\n'), order);
		order.beginAnswer();
		const splitter = new EventSplitter(holding);
		const relayed = events.map(text => [...text].map(char => Buffer.from(splitter.push(Buffer.from(char), order).bytes).toString()).join(''));
		expect(relayed).to.deep.equal(['', events[1], `${events[0]}${events[2]}`, events[3]]);
	});

	// Guards against a target that occupies a host with events that bring nothing, and against ending sound streams for their keep-alive events.
	it('ends a stream only after many events in a row without an id or text', () => {
		const countEvents = (text: string): number | undefined => {
			const splitter = new EventSplitter(holding);
			const order = new EventOrder(undefined);
			for (let count = 1; count <= 2 * MAX_EMPTY_EVENTS; count++) {
				const {fault} = splitter.push(Buffer.from(text), order);
				if (fault !== undefined) {
					expect(fault).to.equal(EMPTY_EVENTS);
					return count;
				}
			}

			return undefined;
		};

		const units = ['\n\n', '\r\n\r\n', ':\n\n', 'data:\n\n', 'data: \n\n', 'event: ping\n\n', `: ${'x'.repeat(2048)}\n\n`, 'data: x\n\n', `: keep-alive\n\n${'data:\n\n'.repeat(9)}data: x\n\n`];
		expect(Object.fromEntries(units.map(unit => [unit.replaceAll(/x{3,}/gv, 'x...'), countEvents(unit) ?? 'no end']))).toMatchSnapshot();
	});

	// Guards against quadratic time in the length of an event, which blocks the event loop when a target sends small chunks.
	it('searches each byte of a long event once', () => {
		const splitter = new EventSplitter(holding);
		const order = new EventOrder(undefined);
		const chunk = Buffer.from('x');
		const before = process.cpuUsage();
		splitter.push(Buffer.from(FIELD_START), order);
		for (let sent = FIELD_START.length; sent < LONG_EVENT_BYTES; sent += 1) {
			splitter.push(chunk, order);
		}

		const ends = ['\n', '\r', '\n'].map(end => splitter.push(Buffer.from(end), order).bytes.length);
		const {user, system} = process.cpuUsage(before);
		expect({ends, rest: splitter.getIncompleteEvent().length, isFast: (user + system) / 1000 < MAX_CPU_MS}).toMatchSnapshot();
	}).timeout(60_000);
});
