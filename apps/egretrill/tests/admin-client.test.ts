import {
	ConfigInForce, operations, WithdrawalOutcome,
} from '@egretrill/operators';
import {
	callCutServer, RawServer, runCuts, writeUntilClosed,
} from '@egretrill/testkit';
import {expect} from 'chai';
import {AdminClient} from '../src/admin-client.js';

const OPERATION = operations.getConfig;
/** Well above the largest reply that the client reads plus the socket buffers of a connection. */
const MANY_BYTES = 268_435_456;

const OUTCOME = '{"result":"in-force","key":"k","version":1}';
const OK = 'HTTP/1.1 200 OK\r\n';
const answers = {
	'by length': `${OK}Content-Length: ${OUTCOME.length}\r\n\r\n${OUTCOME}`,
	'by chunks': `${OK}Transfer-Encoding: chunked\r\n\r\n${OUTCOME.length.toString(16)}\r\n${OUTCOME}\r\n0\r\n\r\n`,
	'by connection': `${OK}\r\n${OUTCOME}`,
	'HTTP/1.0 by connection': `HTTP/1.0 200 OK\r\n\r\n${OUTCOME}`,
	'after interim answers': `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${OK}Content-Length: ${OUTCOME.length}\r\n\r\n${OUTCOME}`,
	'refused, by length': 'HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone',
	'failed, by connection': 'HTTP/1.1 503 Service Unavailable\r\n\r\nbusy',
} as const;

async function withdraw(address: string): Promise<string> {
	const client = new AdminClient({url: `http://${address}`, credential: 'secret'});
	const answer = await client.call({operation: operations.withdrawKey, params: {id: 'k'}, body: {}}, WithdrawalOutcome);
	return answer.isOk ? 'answered' : answer.error.effect;
}

describe('client of the operators\' API', () => {
	// Guards against an endless reply that fills the memory of the command line until the call times out.
	it('aborts an endless reply', async () => {
		let sent: Promise<number> | undefined;
		const host = await RawServer.start(socket => {
			socket.write('HTTP/1.1 200 OK\r\n\r\n');
			sent = writeUntilClosed(socket);
		});
		const answer = await new AdminClient({url: `http://${host.address}`, credential: 'secret'}).call({operation: OPERATION}, ConfigInForce);
		const bytes = await sent ?? 0;
		host.stop();
		expect({failure: answer.isErr && answer.error, isBounded: bytes < MANY_BYTES}).toMatchSnapshot();
	});

	// Guards against a part of an answer that counts as the outcome of a change, and against a change that counts as not applied after it was sent.
	for (const ending of ['FIN', 'RST', 'last byte and RST'] as const) {
		it(`takes no part of an answer for a whole one, cut by ${ending}`, async () => {
			const results: Record<string, unknown> = {};
			for (const [name, text] of Object.entries(answers)) {
				// An answer that is not cut shows that the rows differ from it.
				results[name] = await runCuts(ending.endsWith('FIN') ? text.length + 1 : text.length, async cut => callCutServer({text, cut, ending}, withdraw));
			}

			expect(results).toMatchSnapshot();
		});
	}

	// Guards against a command that never ends, and against a reset of the connection that ends its process.
	it('fails when the host switches protocols', async () => {
		const text = 'HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\nmore';
		const results: Record<string, string> = {};
		for (const ending of ['FIN', 'late RST', 'held open'] as const) {
			results[ending] = await callCutServer({text, cut: text.length, ending}, withdraw);
		}

		expect(results).toMatchSnapshot();
	});
});
