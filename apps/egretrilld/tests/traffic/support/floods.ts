import {SIGNED} from './forward-host.js';

/** What a target sends without end after the head of its answer. */
export type Flood = {readonly name: string; readonly head: string; readonly text: string};

const BLOCK_BYTES = 65_536;
const OK = `HTTP/1.1 200 OK\r\n${SIGNED}`;
const STREAM = `${OK}events: 1\r\n\r\n`;
const IN_CHUNKS = 'Transfer-Encoding: chunked\r\n\r\n';

function fill(unit: string): string {
	return unit.repeat(Math.ceil(BLOCK_BYTES / unit.length));
}

const smallChunk = '1\r\n\n\r\n';

/** Bytes that cost a host much work for what they bring a caller. */
export const floods: readonly Flood[] = [
	{name: 'empty lines', head: STREAM, text: fill('\n')},
	{name: 'empty lines of two bytes', head: STREAM, text: fill('\r\n')},
	{name: 'comments', head: STREAM, text: fill(':\n\n')},
	{name: 'comments in one event', head: STREAM, text: fill(':\n')},
	{name: 'long events of comments', head: STREAM, text: `${fill(':\n').repeat(15)}\n\n`},
	{name: 'events without text', head: STREAM, text: fill('data:\n\n')},
	{name: 'events of a name alone', head: STREAM, text: fill('event: ping\n\n')},
	{name: 'repeated ids', head: STREAM, text: fill('id: 1\n')},
	{name: 'carriage returns', head: STREAM, text: fill('\r')},
	{name: 'small events', head: STREAM, text: fill('data: x\n\n')},
	{name: 'long events of short lines', head: STREAM, text: `${fill('data\n').repeat(15)}\n\n`},
	{name: 'empty lines in chunks of one byte', head: `${OK}events: 1\r\n${IN_CHUNKS}`, text: fill(smallChunk)},
	{name: 'small events in chunks of one byte', head: `${OK}events: 1\r\n${IN_CHUNKS}`, text: fill([...'data: x\n\n'].map(char => `1\r\n${char}\r\n`).join(''))},
	{name: 'a body in chunks of one byte', head: `${OK}${IN_CHUNKS}`, text: fill(smallChunk)},
	{name: 'a body in chunks with extensions', head: `${OK}${IN_CHUNKS}`, text: fill(`1;${'x'.repeat(1000)}\r\nx\r\n`)},
	{name: 'a body without a length', head: `${OK}\r\n`, text: fill('x')},
	{name: 'header lines', head: OK, text: fill('a: b\r\n')},
	{name: 'trailers', head: `${OK}${IN_CHUNKS}0\r\n`, text: fill('a: b\r\n')},
];
