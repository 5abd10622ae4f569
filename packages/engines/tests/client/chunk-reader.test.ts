import {Buffer} from 'node:buffer';
import {
	ChatChunk, MAX_ANSWER_BYTES, StreamBrokenError, type StreamItem,
} from '@egretrill/common';
import {expect} from 'chai';
import fc from 'fast-check';
import {ChunkReader} from '../../src/index.js';

const SEED = 7;
const ID = 'req-1';

function formatChunk(id: string, seq: number, content: string): string {
	return `data: ${JSON.stringify({id, egretrill: {seq}, choices: [{delta: {content}, finish_reason: null}]})}\n\n`;
}

/** Splits bytes at the given fractions of their length. */
function splitBytes(bytes: Uint8Array, cuts: readonly number[]): readonly Uint8Array[] {
	const ends = [...cuts.map(cut => Math.floor(cut * bytes.length)), bytes.length].sort((a, b) => a - b);
	return ends.map((end, i) => bytes.subarray(ends[i - 1] ?? 0, end));
}

/** Reads a stream to its end or its first error, which must be a StreamBrokenError. */
function readAll(buffers: readonly Uint8Array[], resumeFrom: number): {readonly items: readonly StreamItem[]; readonly isComplete: boolean} {
	const reader = new ChunkReader(ID, resumeFrom);
	const items: StreamItem[] = [];
	try {
		for (const buffer of buffers) {
			items.push(...reader.read(buffer));
		}

		reader.finish();
		return {items, isComplete: true};
	} catch (err: unknown) {
		expect(err).to.be.instanceOf(StreamBrokenError);
		return {items, isComplete: false};
	}
}

/** Checks what the caller relies on: only chunks of this request, consecutive, one line each, and nothing after the end marker. */
function checkItems(items: readonly StreamItem[], resumeFrom: number): void {
	const chunks = items.filter(item => item.kind === 'chunk');
	expect(chunks.map(({seq}) => seq)).to.deep.equal(chunks.map((_, i) => resumeFrom + i));
	for (const {seq, data} of chunks) {
		const chunk = ChatChunk.parse(JSON.parse(data));
		expect([chunk.id, chunk.egretrill.seq]).to.deep.equal([ID, seq]);
		expect(data).not.to.match(/[\r\n]/v);
	}

	const doneAt = items.findIndex(({kind}) => kind === 'done');
	expect(doneAt === -1 || doneAt === items.length - 1).to.equal(true);
}

const cuts = fc.array(fc.double({min: 0, max: 1, noNaN: true}), {maxLength: 12});
const lineEnds = fc.constantFrom('\n', '\r\n', '\r');
const contents = fc.array(fc.string({unit: 'binary', maxLength: 8}), {minLength: 1, maxLength: 6});
const harmfulPatches = ['\n', '\r', '\n\n', '\ndata:', 'data: [DONE]\n\n', ': heartbeat\n\n', formatChunk('req-2', 1, 'x'), formatChunk(ID, 1, 'x'), formatChunk(ID, 9, 'x')];
const patches = fc.array(fc.record({
	at: fc.double({min: 0, max: 1, noNaN: true}),
	cut: fc.integer({min: 0, max: 4}),
	patch: fc.oneof(
		fc.uint8Array({maxLength: 4}),
		fc.constantFrom(...harmfulPatches).map(part => Buffer.from(part)),
	),
}), {minLength: 1, maxLength: 3});

describe('chunk reader', () => {
	// Guards against text that is lost or changed when a network read ends inside a chunk or a multi-byte character.
	it('reads the same items however the bytes are split', () => {
		fc.assert(fc.property(contents, cuts, fc.nat(2), lineEnds, (parts, at, resumeFrom, lineEnd) => {
			const lines = parts.map((content, i) => formatChunk(ID, resumeFrom + i, content));
			const bytes = Buffer.from([...lines, ': heartbeat\n\n', 'data: [DONE]\n\n', '\n'].join('').replaceAll('\n', lineEnd));
			const {items, isComplete} = readAll(splitBytes(bytes, at), resumeFrom);
			checkItems(items, resumeFrom);
			const texts = items.filter(item => item.kind === 'chunk').map(({data}) => ChatChunk.parse(JSON.parse(data)).choices[0]?.delta.content);
			expect([texts, items.length, isComplete]).to.deep.equal([parts, parts.length + 2, true]);
		}), {seed: SEED, numRuns: 300});
	});

	// Guards against forwarding chunks that belong to another request, are out of sequence, follow the end marker or span several lines: each corrupts the caller's stream.
	it('emits only its own chunks in sequence when bytes are changed, removed or inserted', () => {
		fc.assert(fc.property(contents, cuts, patches, fc.nat(2), (parts, at, changes, resumeFrom) => {
			const text = [...parts.map((content, i) => formatChunk(ID, i, content)), 'data: [DONE]\n\n'].join('');
			let bytes: Uint8Array = Buffer.from(text);
			for (const {at: position, cut, patch} of changes) {
				const start = Math.floor(position * bytes.length);
				bytes = Buffer.concat([bytes.subarray(0, start), patch, bytes.subarray(start + cut)]);
			}

			checkItems(readAll(splitBytes(bytes, at), resumeFrom).items, resumeFrom);
		}), {seed: SEED, numRuns: 1000});
	});

	it('emits a chunk received over several lines as one line', () => {
		const {items, isComplete} = readAll([Buffer.from(`${formatChunk(ID, 0, 'x').replace(',', ',\ndata: ')}data: [DONE]\n\n`)], 0);
		checkItems(items, 0);
		expect(isComplete).to.equal(true);
	});

	it('emits nothing after the end marker', () => {
		const {items, isComplete} = readAll([Buffer.from(`${formatChunk(ID, 0, 'x')}data: [DONE]\n\n${formatChunk(ID, 1, 'y')}: heartbeat\n\ndata: [DONE]\n\n`)], 0);
		checkItems(items, 0);
		expect(isComplete).to.equal(true);
	});

	// Guards against unbounded memory use when an engine sends a line or an event that never ends.
	for (const [name, line] of [['line', 'x'], ['event', `data: ${'x'.repeat(64)}\n`]] as const) {
		it(`breaks a stream with one ${name} that does not end`, () => {
			const reader = new ChunkReader(ID, 0);
			const buffer = Buffer.from(line.repeat(10_000));
			expect(() => {
				for (let sent = 0; sent <= 3 * MAX_ANSWER_BYTES; sent += buffer.length) {
					reader.read(buffer);
				}
			}).to.throw(StreamBrokenError);
		});
	}

	// Guards against a stream that occupies a host until its deadline with bytes that bring no chunk.
	it('ends a stream of heartbeats or empty lines without end', () => {
		for (const text of [':\n\n', '\n', '\r', 'event: ping\n\n']) {
			const part = Buffer.from(text.repeat(8192 / text.length));
			const reader = new ChunkReader(ID, 0);
			const readOn = (): void => {
				for (let bytes = 0; bytes <= 2 * MAX_ANSWER_BYTES; bytes += part.length) {
					reader.read(part);
				}
			};

			expect(readOn, JSON.stringify(text)).to.throw(StreamBrokenError);
		}
	});
});
