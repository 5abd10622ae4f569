import {runOnTargets} from '@egretrill/callers';
import {expect} from 'chai';
import {
	createExchange, FixedTargetPool, RecordedReply, TargetClients,
} from './support/target-exchange.js';
import {type RawScript, RawTarget} from './traffic/support/raw-target.js';

const DONE = 'data: [DONE]\n\n';

function formatChunk(seq: number, {id = 'req-1', isLast = false} = {}): string {
	return `data: ${JSON.stringify({id, egretrill: {seq}, choices: [{delta: {content: `${seq}`}, finish_reason: isLast ? 'stop' : null}]})}\n\n`;
}

function formatChunks(...seqs: readonly number[]): string {
	return seqs.map(seq => formatChunk(seq)).join('');
}

/** Answers with a body that the connection ends. */
function answerWith(body: string, status = '200 OK'): RawScript {
	return async peer => {
		await peer.readHead();
		await peer.write(`HTTP/1.1 ${status}\r\nContent-Type: text/event-stream\r\n\r\n${body}`);
		peer.end();
	};
}

/** Relays a stream from the targets, in this order, and describes what the caller received and the verdict. */
async function runScripts(...scripts: readonly RawScript[]): Promise<string> {
	const targets = await Promise.all(scripts.map(async script => RawTarget.open(script)));
	const clients = new TargetClients();
	const reply = new RecordedReply();
	try {
		const result = await runOnTargets(createExchange(new FixedTargetPool(targets.map(({address}) => address)), reply, clients));
		const shown = reply.text.replaceAll(/data: \{[^\n]*"seq":(?<seq>\d+)[^\n]*\n\n/gv, '[$<seq>]').replaceAll(DONE, '[DONE]');
		return `${JSON.stringify(shown)}; ${result.isOk ? result.value.kind : `${result.error.run} ${result.error.code}`}`;
	} finally {
		clients.close();
		for (const target of targets) {
			target.close();
		}
	}
}

async function runAll<Item>(items: Readonly<Record<string, Item>>, run: (item: Item) => Promise<string>): Promise<Record<string, string>> {
	const results = await Promise.all(Object.entries(items).map(async ([name, item]) => [name, await run(item)] as const));
	return Object.fromEntries(results);
}

describe('a streamed completion that broke off', () => {
	// Guards against an error, a gap, a repetition or an end in the middle of a completion that its caller takes as part of the answer.
	it('is continued by the chunks that follow, or is not marked as done', async () => {
		const secondAnswers = {
			'the following chunks': answerWith(`${formatChunks(2, 3)}${DONE}`),
			'all chunks from the first': answerWith(`${formatChunks(0, 1, 2, 3)}${DONE}`),
			'a chunk twice': answerWith(`${formatChunks(2, 2, 3)}${DONE}`),
			'a delivered chunk after a new one': answerWith(`${formatChunks(2, 1, 3)}${DONE}`),
			'chunks after a gap': answerWith(`${formatChunks(3)}${DONE}`),
			'delivered chunks with a gap': answerWith(`${formatChunks(0, 2, 3)}${DONE}`),
			'chunks of another request': answerWith(`${formatChunk(2, {id: 'req-9'})}${DONE}`),
			'chunks without ids': answerWith(`data: {"choices":[]}\n\n${DONE}`),
			'an error head': answerWith('HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy'),
			'an error as a chunk': answerWith(`data: {"error":"busy"}\n\n${DONE}`),
			'an error event': answerWith(`event: error\ndata: {"error":"busy"}\n\n${DONE}`),
			'the end marker alone': answerWith(DONE),
			'some delivered chunks and the end marker': answerWith(`${formatChunks(0)}${DONE}`),
			'all delivered chunks and the end marker': answerWith(`${formatChunks(0, 1)}${DONE}`),
			nothing: answerWith(''),
			404: answerWith(`${formatChunks(2, 3)}${DONE}`, '404 Not Found'),
			503: answerWith(`${formatChunks(2, 3)}${DONE}`, '503 Service Unavailable'),
			204: answerWith('', '204 No Content'),
			206: answerWith(`${formatChunks(2, 3)}${DONE}`, '206 Partial Content'),
		};
		const first = formatChunks(0, 1);
		expect({
			'between chunks': await runAll(secondAnswers, async script => runScripts(answerWith(first), script)),
			'in a chunk': await runAll(secondAnswers, async script => runScripts(answerWith(`${first}data: {"id":"req-1`), script)),
		}).toMatchSnapshot();
	}).timeout(60_000);

	// Guards against a completion without text that ends as complete, and against one with all its text that does not.
	it('ends with the end marker only after its last chunk', async () => {
		const whole = `${formatChunk(0)}${formatChunk(1, {isLast: true})}`;
		expect({
			'no chunk': await runScripts(answerWith(DONE)),
			'no chunk after the last one': await runScripts(answerWith(whole), answerWith(DONE)),
			'no chunk after another one': await runScripts(answerWith(formatChunk(0)), answerWith(DONE)),
			'a sound target after an early end': await runScripts(answerWith(formatChunk(0)), answerWith(DONE), answerWith(`${formatChunk(1, {isLast: true})}${DONE}`)),
		}).toMatchSnapshot();
	});
});
