import {setTimeout} from 'node:timers/promises';
import {expect} from 'chai';
import type {TrafficRoute} from '@egretrill/common';
import {ForwardHost, SIGNED} from './support/forward-host.js';
import {callRaw} from './support/raw-caller.js';
import {type RawScript, RawTarget} from './support/raw-target.js';

const MB = 1_048_576;
/** Represents unbounded output: reached only if the connection is not closed before. */
const FLOOD_BYTES = 48 * MB;
/** Largest number of bytes sent until a connection is closed: the product's limit plus the buffers of both ends of the connection. */
const MAX_SENT_BYTES = 12 * MB;

const OK = `HTTP/1.1 200 OK\r\n${SIGNED}`;
/** Pause between two bytes of a slow target, well below the silence after which a stream is resumed on another target. */
const PAUSE_MS = 50;

const line = 'x'.repeat(8190);

/** Starts an answer and repeats a text without end. */
function floodWith(head: string, text: string): RawScript {
	return async peer => {
		await peer.readHead();
		await peer.write(head);
		await peer.flood(text, FLOOD_BYTES);
		peer.end();
		await peer.closed;
	};
}

/** Sends a request to a host with a target of unbounded output and one that answers, immediately or after the first connection has closed; reports the answer and whether the output was stopped. */
async function runRequest(script: RawScript, route?: Partial<TrafficRoute>, isLate = false): Promise<string> {
	const unboundedTarget = await RawTarget.open(script);
	const workingTarget = await RawTarget.open(async peer => {
		await peer.readHead();
		if (isLate) {
			await unboundedTarget.peers[0]!.closed;
		}

		await peer.write(`${OK}Content-Length: 5\r\n\r\nwhole`);
	});
	const host = await ForwardHost.open({targets: [unboundedTarget.address, workingTarget.address], route});
	try {
		const {status, body, isWhole} = await callRaw(host.port);
		await unboundedTarget.peers[0]!.closed;
		const isStopped = unboundedTarget.bytesWritten < MAX_SENT_BYTES;
		return `${status}${status < 500 ? ` ${JSON.stringify(body.slice(0, 20))}` : ''}${isWhole ? '' : ' cut'}; ${isStopped ? 'stopped' : 'read to its end'}`;
	} finally {
		host.close();
		unboundedTarget.close();
		workingTarget.close();
	}
}

/** Runs each script on a route whose requests run at most once, and on one whose requests may be repeated. */
async function runOnBothRoutes(scripts: Readonly<Record<string, RawScript>>): Promise<Record<string, string[]>> {
	const lines: Record<string, string[]> = {};
	for (const [name, script] of Object.entries(scripts)) {
		lines[name] = [await runRequest(script), await runRequest(script, {repeat: 'idempotent'})];
	}

	return lines;
}

describe('unbounded output of a target', () => {
	// Guards against a head that never ends and occupies processor time and a slot until the caller disconnects.
	it('is stopped before the final head', async () => {
		expect(await runOnBothRoutes({
			'a header that never ends': floodWith(`${OK}long: `, line),
			'headers without end': floodWith(OK, 'a: b\r\n'.repeat(1000)),
			'empty lines before the status': floodWith('', '\r\n'.repeat(4000)),
			'interim answers': floodWith('', 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(300)),
		})).toMatchSnapshot();
	}).timeout(60_000);

	// Guards against unbounded framing that contains no bytes of the body.
	it('is stopped between the parts of a body', async () => {
		const head = `${OK}Transfer-Encoding: chunked\r\n\r\n`;
		expect(await runOnBothRoutes({
			'the size of a chunk': floodWith(`${head}3\r\nabc\r\n`, '0'.repeat(8000)),
			'the extension of a chunk': floodWith(`${head}3\r\nabc\r\n3;`, line),
			'the headers after the last chunk': floodWith(`${head}3\r\nabc\r\n0\r\n`, 'a: b\r\n'.repeat(1000)),
		})).toMatchSnapshot();
	}).timeout(60_000);

	// Guards against a limit that truncates a long answer whose framing is larger than its body.
	it('is not assumed for a long body of small chunks', async () => {
		const chunkCount = 400_000;
		const target = await RawTarget.open(async peer => {
			await peer.readHead();
			await peer.write(`${OK}Transfer-Encoding: chunked\r\n\r\n`);
			for (let sent = 0; sent < chunkCount; sent += 2000) {
				await peer.write('1;ext\r\nx\r\n'.repeat(2000));
			}

			for (let sent = 0; sent < 200; sent += 1) {
				await peer.write(`1ffe\r\n${line}\r\n`);
			}

			await peer.write('0\r\n\r\n');
		});
		const host = await ForwardHost.open({targets: [target.address]});
		const {status, body, isWhole} = await callRaw(host.port);
		const {bodyBytes: bytes, bodyEnd: framing} = host.observer.ends[0]!;
		host.close();
		target.close();
		expect({
			status, isWhole, length: body.length, answerEnd: {bytes, framing},
		}).toMatchSnapshot();
	}).timeout(60_000);

	// Guards against a body that is read and discarded without end while the request runs at another target.
	it('is stopped in the body of an answer that is not forwarded', async () => {
		const refusals = {
			'421 in chunks': `HTTP/1.1 421 Misdirected Request\r\n${SIGNED}Transfer-Encoding: chunked\r\n\r\n`,
			'421 by connection': `HTTP/1.1 421 Misdirected Request\r\n${SIGNED}\r\n`,
			'503 that was not run': `HTTP/1.1 503 Service Unavailable\r\n${SIGNED}not-run: 1\r\nTransfer-Encoding: chunked\r\n\r\n`,
			'503 that may have run': `HTTP/1.1 503 Service Unavailable\r\n${SIGNED}Transfer-Encoding: chunked\r\n\r\n`,
		};
		const lines: Record<string, string> = {};
		for (const [name, head] of Object.entries(refusals)) {
			lines[name] = await runRequest(floodWith(head, `1ffe\r\n${line}\r\n`), {repeat: 'idempotent'}, true);
		}

		expect(lines).toMatchSnapshot();
	}).timeout(60_000);

	// Guards against memory and processor time used up by an event that never ends.
	it('is stopped in an event', async () => {
		const head = `${OK}events: 1\r\n\r\n`;
		const stream = {isStream: true, isResumable: true};
		const events = 'id: 1\ndata: a\n\n';
		expect({
			'the first event': await runRequest(floodWith(`${head}data: `, line), {isStream: true}),
			'a later event': await runRequest(floodWith(`${head}${events}data: `, line), {isStream: true}),
			'an event that another target sends': await runRequest(floodWith(`${head}data: `, line), stream),
		}).toMatchSnapshot();
	}).timeout(120_000);

	// Guards against a stream that stalls for its caller because the bytes of an event that never ends are counted as activity.
	it('is stopped when it arrives slowly within an event', async () => {
		const slow = await RawTarget.open(async peer => {
			await peer.readHead();
			await peer.write(`${OK}events: 1\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: `);
			while (peer.socket.writable) {
				await peer.write('x');
				await setTimeout(PAUSE_MS);
			}
		});
		const sound = await RawTarget.open(async peer => {
			await peer.readHead();
			await peer.write(`${OK}events: 1\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n`);
			peer.end();
		});
		const host = await ForwardHost.open({targets: [slow.address, sound.address], route: {isStream: true, isResumable: true}});
		const {status, body, isWhole} = await callRaw(host.port);
		host.close();
		slow.close();
		sound.close();
		expect({status, body, isWhole}).toMatchSnapshot();
	}).timeout(60_000);
});
