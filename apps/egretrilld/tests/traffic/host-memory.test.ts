import {DeployedProcess, MAX_PROCESS_BYTES} from '@egretrill/testkit';
import {expect} from 'chai';
import {SIGNED} from './support/forward-host.js';
import {callRaw} from './support/raw-caller.js';
import {type RawPeer, RawTarget} from './support/raw-target.js';

const MB = 1_000_000;
const REQUESTS = 100;
const BODY_BYTES = 4 * MB;
/** Size below the limit of a single event or buffered answer. */
const PART_BYTES = 900_000;
const WAITING_REQUESTS = 1000;
const ENDLESS_BYTES = 16 * MB;

const OK = `HTTP/1.1 200 OK\r\n${SIGNED}`;
const line = 'x'.repeat(8190);
const chunk = `1ffe\r\n${line}\r\n`;

/** An engine that answers sound requests, and does without an end what the path of others says. */
async function serve(peer: RawPeer): Promise<void> {
	const head = await peer.readHead();
	if (head.startsWith('GET /endless ')) {
		await peer.write(`${OK}Transfer-Encoding: chunked\r\n\r\n`);
		await peer.flood(chunk, ENDLESS_BYTES);
	} else if (head.startsWith('GET /event ')) {
		await peer.write(`${OK}events: 1\r\n\r\ndata: ${'x'.repeat(PART_BYTES)}`);
	} else if (head.startsWith('GET /part ')) {
		await peer.write(`${OK}Content-Length: ${2 * PART_BYTES}\r\n\r\n${'x'.repeat(PART_BYTES)}`);
	} else if (!head.startsWith('GET /hang ')) {
		await peer.write(`${OK}Content-Length: 5\r\n\r\nsound`);
	}
}

/** Requests of callers that send all but the last byte, or read nothing of the answer. */
const rows: Readonly<Record<string, string>> = {
	'bodies of callers without their last byte': `POST /sound HTTP/1.1\r\nHost: app.test\r\nContent-Length: ${BODY_BYTES}\r\n\r\n${'x'.repeat(BODY_BYTES - 1)}`,
	'bodies without end whose callers read nothing': 'GET /endless HTTP/1.1\r\nHost: app.test\r\n\r\n',
	'requests that wait behind a running one': 'GET /hang HTTP/1.1\r\nHost: app.test\r\n\r\n'.repeat(WAITING_REQUESTS),
	'events that do not end': 'GET /event HTTP/1.1\r\nHost: app.test\r\n\r\n',
	'bodies that do not end': 'GET /part HTTP/1.1\r\nHost: app.test\r\n\r\n',
};

describe('the memory of an entry host', () => {
	// Guards against requests and answers that are each bounded and together exceed what the process may use, which ends it with all its requests.
	it('stays within its limit while many requests hold what they may, beside sound ones', async () => {
		const target = await RawTarget.open(serve);
		const deployed = await DeployedProcess.start(new URL('../../dist/tests/traffic/support/entry-process.js', import.meta.url), [target.address]);
		const outcome: Record<string, unknown> = {};
		for (const [name, text] of Object.entries(rows)) {
			await deployed.occupy(text, REQUESTS);
			const {status, body} = await callRaw(deployed.port, {path: '/sound'});
			const peakBytes = await deployed.getPeakBytes();
			outcome[name] = {sound: `${status} ${body}`, isWithinLimit: peakBytes !== undefined && peakBytes < MAX_PROCESS_BYTES};
		}

		deployed.close();
		target.close();
		expect(outcome).toMatchSnapshot();
	}).timeout(60_000);
});
