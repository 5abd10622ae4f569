import {runOnTargets} from '@egretrill/callers';
import {
	callCutServer, type CutAnswer, type CutEnding, runCuts,
} from '@egretrill/testkit';
import {expect} from 'chai';
import {
	createExchange, type ExchangeOptions, FixedTargetPool, RecordedReply, TargetClients,
} from './support/target-exchange.js';
import {RawTarget} from './traffic/support/raw-target.js';

const BODY = '{"id":"req-1"}';
const OK = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n';
const OLD_OK = 'HTTP/1.0 200 OK\r\n';
const BY_LENGTH = `${OK}Content-Length: ${BODY.length}\r\n\r\n${BODY}`;
const REQUEST_TIMEOUT_MS = 250;
/** More than the buffers of both ends of a loopback connection hold. */
const LONG_BODY = 'x'.repeat(8_000_000);

function formatChunk(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const answers = {
	'by length': BY_LENGTH,
	'by chunks': `${OK}Transfer-Encoding: chunked\r\n\r\n${formatChunk(BODY)}0\r\n\r\n`,
	'by connection': `${OK}\r\n${BODY}`,
	'HTTP/1.0 by length': `${OLD_OK}Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
	'HTTP/1.0 by connection': `${OLD_OK}\r\n${BODY}`,
	'after interim answers': `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${BY_LENGTH}`,
	'404 by connection': 'HTTP/1.1 404 Not Found\r\n\r\nnone',
	'503 by length': 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy',
	204: 'HTTP/1.1 204 No Content\r\n\r\n',
	101: 'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nmore',
} as const;

/** Returns the chunks of a completion, without and with the end marker. */
function formatStream(newline: string, ...seqs: readonly number[]): readonly string[] {
	return [
		...seqs.map(seq => JSON.stringify({id: 'req-1', egretrill: {seq}, choices: [{delta: {content: `${seq}`}, finish_reason: null}]})), '[DONE]',
	].map(data => `data: ${data}${newline}${newline}`);
}

const lines = formatStream('\n', 0, 1);
const oldLines = formatStream('\r\n', 0, 1);
const streams = {
	'LF by connection': `${OK}\r\n${lines.join('')}`,
	'CR LF by connection': `${OK}\r\n${oldLines.join('')}`,
	'CR LF by chunks': `${OK}Transfer-Encoding: chunked\r\n\r\n${oldLines.map(line => formatChunk(line)).join('')}0\r\n\r\n`,
	'LF by length': `${OK}Content-Length: ${lines.join('').length}\r\n\r\n${lines.join('')}`,
} as const;

/** Describes what the caller received, with chunks by their numbers, and how the request ended. */
async function describeRun(targets: readonly string[], clients: TargetClients, opts: ExchangeOptions): Promise<string> {
	const reply = new RecordedReply();
	const result = await runOnTargets(createExchange(new FixedTargetPool(targets), reply, clients, opts));
	const shown = reply.text.replaceAll(/data: \{[^\n]*"seq":(?<seq>\d+)[^\n]*\n\n/gv, '[$<seq>]').replaceAll('data: [DONE]\n\n', '[DONE]');
	const received = reply.isStarted ? `${reply.status} ${JSON.stringify(shown)}, ` : '';
	return `${received}${result.isOk ? result.value.kind : `${result.error.status} ${result.error.run}`}`;
}

/** Runs one request after another with the same clients, and describes the last one. */
async function runRequests(targets: readonly string[], opts: ExchangeOptions, requests = 1): Promise<string> {
	const clients = new TargetClients();
	try {
		for (let i = 1; i < requests; i++) {
			await describeRun(targets, clients, opts);
		}

		return await describeRun(targets, clients, opts);
	} finally {
		clients.close();
	}
}

async function runAnswer(answer: Omit<CutAnswer, 'cut'>, opts: ExchangeOptions, others: readonly string[] = []): Promise<Record<string, string>> {
	const {text, earlier = []} = answer;
	// An answer that is not cut shows that its rows differ from it.
	return runCuts(answer.ending.endsWith('FIN') ? text.length + 1 : text.length, async cut => {
		const call = async (address: string): Promise<string> => runRequests([address, ...others], opts, earlier.length + 1);
		return callCutServer({...answer, cut}, call);
	});
}

async function runAnswers(ending: CutEnding, texts: Readonly<Record<string, string>>, opts: ExchangeOptions): Promise<Record<string, unknown>> {
	const results: Record<string, unknown> = {};
	for (const [name, text] of Object.entries(texts)) {
		results[name] = await runAnswer({text, ending}, opts);
	}

	return results;
}

describe('a plain answer that is cut at any byte', () => {
	// Guards against a part of an answer that a caller takes as whole, and against "not run" for a call that was sent.
	for (const work of ['completion', 'service'] as const) {
		for (const ending of ['FIN', 'RST', 'late RST', 'last byte and RST'] as const) {
			it(`is whole only where its framing says so, ${work} cut by ${ending}`, async () => {
				expect(await runAnswers(ending, answers, {work, timeoutMs: 1000})).toMatchSnapshot();
			});
		}

		// Guards against a caller that waits beyond its time limit for a target that has stopped in the middle of its answer.
		it(`ends with the time limit, ${work} held open`, async () => {
			expect(await runAnswers('held open', {'by length': BY_LENGTH, 'by connection': answers['by connection']}, {work, timeoutMs: REQUEST_TIMEOUT_MS})).toMatchSnapshot();
		});

		// Guards against a part of an answer that is taken as whole, and against "not run", when the target has stopped reading the request.
		it(`is not whole when its target has not read the request, ${work}`, async () => {
			const results: Record<string, string> = {};
			for (const ending of ['FIN', 'RST', 'held open'] as const) {
				for (const cut of [0, 30, BY_LENGTH.length - 1]) {
					results[`${ending} at ${cut}`] = await callCutServer({
						text: BY_LENGTH, cut, ending, isDeaf: true,
					}, async address => runRequests([address], {work, body: LONG_BODY, timeoutMs: REQUEST_TIMEOUT_MS}));
				}
			}

			expect(results).toMatchSnapshot();
		});
	}
});

describe('a streamed completion that is cut at any byte', () => {
	// Guards against a part of a chunk that reaches a caller, and against an end marker that the engine did not complete.
	for (const ending of ['FIN', 'last byte and RST'] as const) {
		it(`is done only after its end marker, cut by ${ending}`, async () => {
			expect(await runAnswers(ending, streams, {})).toMatchSnapshot();
		});
	}

	// Guards against a completion that does not go on elsewhere, or with a gap or a doubled chunk.
	it('goes on at another engine', async () => {
		const other = await RawTarget.open(async peer => {
			const head = await peer.readHead();
			const from = Number(/^x-resume-from: (?<seq>\d+)\r$/imv.exec(head)?.groups?.seq ?? 0);
			await peer.write(`${OK}\r\n${formatStream('\n', 0, 1, 2).slice(from).join('')}`);
			peer.end();
		});
		const results: Record<string, unknown> = {};
		for (const [name, text] of Object.entries(streams)) {
			results[name] = await runAnswer({text, ending: 'FIN'}, {}, [other.address]);
		}

		other.close();
		expect(results).toMatchSnapshot();
	});

	// Guards against the end of an earlier stream on the connection that counts for this one.
	it('is not done because the stream before it on its connection was', async () => {
		const {'CR LF by chunks': byChunks, 'LF by length': byLength} = streams;
		expect({
			'by chunks': await runAnswer({text: byChunks, ending: 'FIN', earlier: [byLength, byChunks]}, {}),
			'by length, reset': await runAnswer({text: byLength, ending: 'late RST', earlier: [byLength, byChunks]}, {}),
		}).toMatchSnapshot();
	});

	// Guards against a caller that waits beyond its time limit for an engine that has stopped in the middle of its answer.
	it('ends with the time limit when its engine keeps the connection open', async () => {
		expect(await runAnswers('held open', {'LF by connection': streams['LF by connection']}, {timeoutMs: REQUEST_TIMEOUT_MS})).toMatchSnapshot();
	});
});
