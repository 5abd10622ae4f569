import {
	CallerReply, ChosenTarget, type RequestObserver, RetryBudget, runOnTargets, TargetPool, type TargetRequirements,
} from '@egretrill/callers';
import {
	MonotonicClock, refuse, type TargetAddress, type Verdict,
} from '@egretrill/common';
import {EngineClient} from '@egretrill/engines';
import {expect} from 'chai';
import {Result} from 'true-myth';
import {type RawScript, RawTarget} from './traffic/support/raw-target.js';

type Exchange = Parameters<typeof runOnTargets>[0];

class RecordedReply extends CallerReply {
	text = '';
	private isBegun = false;

	override get isStarted(): boolean {
		return this.isBegun;
	}

	override get isEventStream(): boolean {
		return true;
	}

	override start(): void {
		this.isBegun = true;
	}

	override async write(bytes: Uint8Array | string): Promise<void> {
		this.text += String(bytes);
	}

	override async end(): Promise<void> {
		this.text += 'end';
	}

	override abort(): void {
		this.text += 'connection closed';
	}
}

/** A target that no longer announces itself, so that a stream is resumed at another one. */
class UnannouncedTarget extends ChosenTarget {
	override readonly hasPermit = true;

	constructor(override readonly address: TargetAddress) {
		super();
	}

	override isAvailable(): boolean {
		return true;
	}

	override isProcessAnnounced(): boolean {
		return false;
	}

	override async hasEnded(): Promise<boolean> {
		return false;
	}

	override recordFirstToken(): void {
		// Not used by these tests.
	}

	override release(): void {
		// Not used by these tests.
	}
}

class FixedTargetPool extends TargetPool {
	constructor(private readonly addresses: readonly string[]) {
		super();
	}

	override getFreeSlots(): number {
		return 1;
	}

	override async choose({excluded}: TargetRequirements): Promise<Result<ChosenTarget, Verdict>> {
		const address = this.addresses.find(known => !excluded.has(known));
		return address === undefined
			? Result.err(refuse(503, 'no-target', 'No target is left.'))
			: Result.ok(new UnannouncedTarget({targetId: address, startId: address, address}));
	}
}

function createExchange(targets: TargetPool, reply: CallerReply, engines: EngineClient): Exchange {
	const clock = new MonotonicClock();
	const observer: Partial<RequestObserver> = {
		recordSend: () => undefined, recordUnsent: () => undefined, recordTimes: () => undefined,
	};
	return {
		req: {
			requestId: 'req-1', method: 'POST', path: '/v1/chat/completions', headers: {}, body: new TextEncoder().encode('{}'),
		},
		work: {
			route: {kind: 'model', idempotent: true}, prompt: '', isDeterministic: true, chat: {model: 'm', stream: true},
		},
		reply,
		identity: {},
		admission: {refresh: async () => Result.ok(true), start: () => true},
		signal: new AbortController().signal,
		deadlineMs: clock.now() + 5000,
		deps: {
			clock, targets, observer, engines, retries: new RetryBudget(clock), config: {getIndex: () => ({}), getAgeMs: () => 0}, logger: {info: () => undefined},
		},
	} as unknown as Exchange;
}

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
	const engines = new EngineClient(new MonotonicClock());
	const reply = new RecordedReply();
	try {
		const result = await runOnTargets(createExchange(new FixedTargetPool(targets.map(({address}) => address)), reply, engines));
		const shown = reply.text.replaceAll(/data: \{[^\n]*"seq":(?<seq>\d+)[^\n]*\n\n/gv, '[$<seq>]').replaceAll(DONE, '[DONE]');
		return `${JSON.stringify(shown)}; ${result.isOk ? result.value.kind : `${result.error.run} ${result.error.code}`}`;
	} finally {
		engines.close();
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
