import {setTimeout} from 'node:timers/promises';
import {expect} from 'chai';
import {CallerSocket, describeAnswers} from './support/caller-socket.js';
import {ForwardHost} from './support/forward-host.js';

const CALLERS = 40;
const PARTS = 4;
const PART = 'x'.repeat(50_000);
const PAUSE_MS = 5;
/** The longest time for which the rest of a refused request is read, and some time for the test's own work. */
const MAX_OPEN_MS = 10_000;
const FLOOD_CHUNK = 'x'.repeat(65_536);
/** More than the host reads of a refused request. */
const ENDLESS_BYTES = 1_000_000_000_000;

function writeHead(socket: CallerSocket, bodyBytes: number, method = 'POST', path = '/unknown'): void {
	socket.write(`${method} ${path} HTTP/1.1\r\nHost: app.test\r\nContent-Length: ${bodyBytes}\r\n\r\n`);
}

/** Sends a request whose body arrives in parts, and reads only afterwards. */
async function sendInParts(port: number, {method, path}: {readonly method?: string; readonly path?: string} = {}): Promise<string> {
	const caller = await CallerSocket.open(port);
	caller.socket.pause();
	writeHead(caller, PARTS * PART.length, method, path);
	for (let sent = 0; sent < PARTS; sent += 1) {
		caller.write(PART);
		await setTimeout(PAUSE_MS);
	}

	caller.socket.resume();
	return describeAnswers(await caller.readToEnd());
}

/** Sends a body that does not end until the host closes the connection. */
async function sendWithoutEnd(port: number, chunk: string, pauseMs: number): Promise<unknown> {
	const caller = await CallerSocket.open(port);
	const startMs = performance.now();
	writeHead(caller, ENDLESS_BYTES);
	await caller.waitForText('}');
	const answer = describeAnswers({text: caller.text, isReset: false});
	while (!caller.socket.destroyed && !caller.socket.readableEnded) {
		if (caller.socket.writableLength < FLOOD_CHUNK.length) {
			caller.write(chunk);
		}

		await setTimeout(pauseMs);
	}

	caller.socket.destroy();
	return {answer, isClosedInTime: performance.now() - startMs < MAX_OPEN_MS};
}

describe('a refusal before the request has arrived', () => {
	let host: ForwardHost;
	beforeEach(async () => {
		host = await ForwardHost.open({targets: [], route: {pathPrefix: '/known/'}, maxBodyBytes: PART.length});
	});
	afterEach(() => {
		host.close();
	});

	// Guards against a reset that overtakes the refusal because the rest of the body arrives on a closed connection.
	it('reaches a caller that sends the rest of its body afterwards', async () => {
		const answers = await Promise.all(Array.from({length: CALLERS}, async () => sendInParts(host.port)));
		const head = await sendInParts(host.port, {method: 'HEAD'});
		expect({answers: [...new Set(answers)], head}).toMatchSnapshot();
	});

	// Guards against a connection that is closed before the refusal of a body over the limit is sent.
	it('reaches a caller whose body is over the limit', async () => {
		expect(await sendInParts(host.port, {path: '/known/'})).toMatchSnapshot();
	});

	// Guards against connections that stay open for callers whose body never ends.
	it('is followed by the end of the connection within a bounded time and size', async () => {
		expect(await Promise.all([
			sendWithoutEnd(host.port, 'x', 100),
			sendWithoutEnd(host.port, FLOOD_CHUNK, 0),
		])).toMatchSnapshot();
	});
});
