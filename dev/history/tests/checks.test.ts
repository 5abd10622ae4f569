import {expect} from 'chai';
import {checkHistory, type HistoryEvent} from '../src/index.js';
import {
	begin, createHistory, digest, end, leave, memory, operate, run, see, stop,
} from './small-history.js';

const order = {isIdempotent: false, route: '/orders'};
const stream = {isStream: true, tokens: 3};
const chunks = [0, 1, 2].map(seq => ({id: 'req-1', seq}));
const streamed = {
	isDone: true, runId: undefined, runDigest: undefined,
};
const withdrawn = operate(100, 'withdrawal-state', 'yard-1', {result: 'in-force'});
const zoneOut = operate(100, 'zone-out', 'zone-a', {result: 'accepted', version: 2, digest: 'document-2'});

/** So many calls of one customer that begin together and run within 100 ms; its burst is 2,000 requests. */
function burst(count: number): HistoryEvent[] {
	return Array.from({length: count}, (_, i) => [begin(0, {attempt: `call-${i}/1`}), run(100, {attempt: `call-${i}/1`})]).flat();
}

/** For each promise a history that keeps it and histories that break it in one way. */
const cases: Record<string, {readonly kept: HistoryEvent[]; readonly broken: Record<string, HistoryEvent[]>}> = {
	P1: {kept: [memory(1, 48_000)], broken: {'two models on one accelerator': [memory(1, 60_000)]}},
	P3: {
		kept: [...withdrawn, begin(50), run(60), end(70)],
		broken: {
			'a target that sees a key': [begin(50), run(60, {seesKey: true})],
			'an unknown key that is served': [begin(50, {customer: '', keyId: ''}), run(60), end(70)],
			'a withdrawn key that is served': [...withdrawn, begin(200), run(210), end(220)],
			'a call that waited past the withdrawal': [...withdrawn, begin(50), run(1200), end(1300)],
		},
	},
	P4: {kept: burst(2100), broken: {'a burst of each of two hosts': burst(2200)}},
	P5: {
		kept: [run(1, {isCold: true}), run(2, {isCold: true, running: 4, completed: 2})],
		broken: {'a ramp that doubles too early': [run(1, {isCold: true, running: 2})]},
	},
	P6: {
		kept: [...zoneOut, begin(1900), run(2000), ...operate(5000, 'zone-back', 'zone-a', {result: 'accepted'}), run(6000)],
		broken: {'work in a zone out of service': [...zoneOut, begin(2200), run(2300)]},
	},
	P7: {
		kept: [begin(1, stream), run(2), end(3, {...streamed, chunks})],
		broken: {
			'a crossed chunk': [begin(1, stream), run(2), end(3, {...streamed, chunks: chunks.with(1, {id: 'req-2', seq: 1})})],
			'a missing chunk': [begin(1, stream), run(2), end(3, {...streamed, chunks: chunks.slice(1)})],
			'a silent end': [begin(1, stream), run(2), end(3, {...streamed, chunks: chunks.slice(0, 1), isDone: false})],
			'the answer of another call': [begin(1), run(2), end(3, {runDigest: 'digest-2'})],
			'an answer without a run': [begin(1), end(3)],
		},
	},
	P8: {
		kept: [begin(1), end(3, {status: 503, verdict: 'not-run'}), begin(4, {attempt: 'call-1/2'}), run(5, {attempt: 'call-1/2'})],
		broken: {'a refusal of a call that runs later': [begin(1), end(3, {status: 503, verdict: 'not-run'}), run(5)]},
	},
	P9: {
		kept: [begin(1, order), run(2), end(3), begin(4, {...order, attempt: 'call-1/2'}), end(5, {attempt: 'call-1/2', requestId: 'req-2'})],
		broken: {'a resend that runs again': [begin(1, order), run(2), begin(4, {...order, attempt: 'call-1/2'}), run(5, {attempt: 'call-1/2', requestId: 'req-2'})]},
	},
	P10: {kept: [leave(100), begin(1900), run(2000)], broken: {'work on a target that left': [leave(100), begin(2100), run(2200)]}},
	P11: {
		kept: [begin(900, stream), run(910), ...stop(0), end(2000, {...streamed, chunks})],
		broken: {
			'a stream cut by a stop': [begin(900, stream), run(910), ...stop(0), end(2000, {...streamed, end: 'broken', isDone: false})],
			'a stop at the deadline': stop(1),
		},
	},
	P12: {
		kept: [see(1, 1), ...operate(10, 'apply', 'change-1', {result: 'accepted', version: 2, digest: 'document-2'}), see(30, 2)],
		broken: {
			'a host that turns back': [see(1, 2), see(2, 1)],
			'two winners': [
				...operate(10, 'apply', 'change-1', {result: 'accepted', version: 2, digest: 'document-2'}),
				...operate(11, 'apply', 'change-2', {result: 'accepted', version: 2, digest: 'document-2'}),
			],
			'two documents of one version': [see(1, 2), see(2, 2, 'document-3')],
			'a resend applied again': [
				...operate(10, 'apply', 'change-1', {result: 'accepted', version: 2, digest: 'document-2'}),
				...operate(40, 'apply', 'change-1', {result: 'accepted', version: 3, digest: 'document-3'}),
			],
			'a lost change': [...operate(10, 'apply', 'change-1', {result: 'accepted', version: 2, digest: 'document-2'}), see(30, 1)],
		},
	},
};

// Guards against a check that finds nothing because it looks at nothing.
describe('checks of a history', () => {
	for (const [promise, {kept, broken}] of Object.entries(cases)) {
		it(`${promise}: a history that keeps the promise passes`, () => {
			const results = checkHistory(createHistory(kept));
			expect(results.flatMap(({findings}) => findings)).to.deep.equal([]);
			expect(results.find(result => result.promise === promise)?.counted).to.be.greaterThan(0);
		});
		for (const [name, events] of Object.entries(broken)) {
			it(`${promise}: finds ${name}`, () => {
				const results = checkHistory(createHistory(events));
				expect(results.find(result => result.promise === promise)?.findings).toMatchSnapshot();
			});
		}
	}

	it('takes the open routes of a cut-off host as allowed in a zone out of service', () => {
		const cut: HistoryEvent = {
			kind: 'fault-begun', atMs: 50, fault: 'fault-1', faultKind: 'cut-zone', subject: 'zone-a',
		};
		const open = [...zoneOut, cut, begin(8000, {isKeyed: false}), run(8010, {bodyDigest: digest})];
		const keyed = [...zoneOut, cut, begin(8000), run(8010)];
		expect([open, keyed].map(events => checkHistory(createHistory(events)).find(({promise}) => promise === 'P6')?.findings.length)).to.deep.equal([0, 1]);
	});
});
