import {expect} from 'chai';
import {
	type CallRecord, checkCalls, createReport, type SoakRecord,
} from '../src/index.js';

const call: CallRecord = {
	attemptId: 'a', kind: 'draft', host: 0, isKept: true, sentMs: 10_000, bodySentMs: 10_000, timeLimitMs: 12_000, expectedBody: 'whole', status: 200, body: 'whole', isComplete: true, endedMs: 11_000,
};
const cut: CallRecord = {
	...call, body: 'wh', isComplete: false, error: 'ECONNRESET', endedMs: 13_000,
};
const run = {
	attemptId: 'a', targetId: 't', startedMs: 10_010, pauseMs: 0,
} as const;
const closed = {...run, outcome: 'closed', endedMs: 13_000} as const;

/** What was seen, with the time of a SIGTERM to the host. */
function createRecord(seen: CallRecord, runs: SoakRecord['runs'], stopMs?: number): SoakRecord {
	return {calls: [seen], runs, steps: stopMs === undefined ? [] : [{kind: 'stop', host: 0, atMs: stopMs}]};
}

const records: Readonly<Record<string, SoakRecord>> = {
	'a whole answer': createRecord(call, [run]),
	'a cut answer without a stop': createRecord(cut, [closed]),
	'a cut answer sent 3.5 s after SIGTERM': createRecord(cut, [closed], 6500),
	'a cut answer sent 2 s after SIGTERM, in the last sixth of the grace period': createRecord({...cut, endedMs: 15_500}, [{...closed, endedMs: 15_500}], 8000),
	'a cut answer sent 2 s after SIGTERM, before the last sixth': createRecord(cut, [closed], 8000),
	'a cut answer sent 2 s after SIGTERM whose target had ended before the last sixth': createRecord({...cut, endedMs: 15_500}, [{...run, outcome: 'complete', endedMs: 13_000}], 8000),
	'a cut answer that went on at another target after the first broke off': createRecord(cut, [{...closed, outcome: 'broke-off', endedMs: 11_000}, {...closed, startedMs: 11_010}], 6500),
	'a cut answer sent 3.5 s after SIGTERM whose target fell silent': createRecord(cut, [{...closed, pauseMs: 900}], 6500),
	'a cut answer without a stop whose target fell silent': createRecord(cut, [{...closed, pauseMs: 900}]),
	'an answer that its target broke off': createRecord(cut, [{...closed, outcome: 'broke-off'}], 6500),
	'an answer at its time limit': createRecord({...cut, endedMs: 22_100}, [closed], 6500),
	'a request that crossed the close of its connection': createRecord({
		...cut, body: '', status: 0, endedMs: 10_050,
	}, [], 6500),
	'a request that was read and not answered': createRecord({
		...cut, body: '', status: 0, endedMs: 10_900,
	}, [], 6500),
	'a slow body that was read 300 ms before its connection closed': createRecord({
		...cut, body: '', status: 0, bodySentMs: 12_700,
	}, [], 6500),
	'a slow body that was not sent in whole': createRecord({
		...cut, body: '', status: 0, bodySentMs: Number.POSITIVE_INFINITY,
	}, [], 6500),
	'a slow body of 2 s after SIGTERM that was whole 4 s after it, cut off in the last sixth': createRecord({...cut, bodySentMs: 12_000, endedMs: 15_500}, [{...closed, endedMs: 15_500}], 8000),
	'an answer with other content': createRecord({...call, body: 'whale'}, [run]),
	'a refusal of an order that has run': createRecord({...call, kind: 'order', status: 503}, [run]),
	'an order that has run twice': createRecord({...call, kind: 'order'}, [run, run]),
	'a lookup that has run twice': createRecord({...call, kind: 'lookup'}, [run, run]),
};

describe('the checks of the soak', () => {
	// Guards against a soak that passes because its checks see nothing, and against one that fails for what is allowed.
	it('tell what callers must not see from what is excused', () => {
		expect(Object.fromEntries(Object.entries(records).map(([name, record]) => [name, checkCalls(record).map(({rule, detail}) => `${rule}: ${detail}`)]))).toMatchSnapshot();
	});

	// Guards against a run that passes because no stream was sent late in a stop.
	it('count the streams that were sent late in a stop', () => {
		const late = createRecord(call, [run], 6500);
		const early = createRecord(call, [run], 8000);
		const restarted: SoakRecord = {...late, steps: [...late.steps, {kind: 'exit', host: 0, atMs: 9000}]};
		const lines = Object.entries({late, restarted, early}).map(([name, record]) => `${name}: ${createReport(record).lines.find(line => line.includes('more than'))}`);
		expect(lines).toMatchSnapshot();
	});
});
