import {expect} from 'chai';
import {checkHistory, type HistoryEvent} from '../src/index.js';
import {
	startCall, createHistory, digest, endCall, leaveTarget, changeMemory, runOperation, startRun, readVersion, stopHost,
} from './small-history.js';

const order = {isIdempotent: false, route: '/orders'};
const stream = {isStream: true, tokens: 3};
const chunks = [0, 1, 2].map(seq => ({id: 'req-1', seq}));
const streamed = {
	isDone: true, runId: undefined, runDigest: undefined,
};
const withdrawn = runOperation(100, 'withdrawal-state', 'yard-1', {result: 'in-force'});
const zoneOut = runOperation(100, 'zone-out', 'zone-a', {result: 'accepted', version: 2, digest: 'document-2'});

/** Calls of one customer that start at once and run 100 ms later; the customer's burst is 2,000 requests. */
function burst(count: number): HistoryEvent[] {
	return Array.from({length: count}, (_, i) => [startCall(0, {attempt: `call-${i}/1`}), startRun(100, {attempt: `call-${i}/1`})]).flat();
}

/** For each promise, a history that keeps it and histories that each break it in one way. */
const cases: Record<string, {readonly kept: HistoryEvent[]; readonly broken: Record<string, HistoryEvent[]>}> = {
	P1: {kept: [changeMemory(1, 48_000)], broken: {'two models on one accelerator': [changeMemory(1, 60_000)]}},
	P3: {
		kept: [...withdrawn, startCall(50), startRun(60), endCall(70)],
		broken: {
			'a target that sees a key': [startCall(50), startRun(60, {seesKey: true})],
			'an unknown key that is served': [startCall(50, {customer: '', keyId: ''}), startRun(60), endCall(70)],
			'a withdrawn key that is served': [...withdrawn, startCall(200), startRun(210), endCall(220)],
			'a call that waited past the withdrawal': [...withdrawn, startCall(50), startRun(1200), endCall(1300)],
		},
	},
	P4: {kept: burst(2100), broken: {'a burst above the limit over two hosts': burst(2200)}},
	P5: {
		kept: [startRun(1, {isCold: true}), startRun(2, {isCold: true, running: 4, completed: 2})],
		broken: {'a ramp that doubles too early': [startRun(1, {isCold: true, running: 2})]},
	},
	P6: {
		kept: [...zoneOut, startCall(1900), startRun(2000), ...runOperation(5000, 'zone-back', 'zone-a', {result: 'accepted'}), startRun(6000)],
		broken: {'new work in a zone out of service': [...zoneOut, startCall(2200), startRun(2300)]},
	},
	P7: {
		kept: [startCall(1, stream), startRun(2), endCall(3, {...streamed, chunks})],
		broken: {
			'a chunk of another request': [startCall(1, stream), startRun(2), endCall(3, {...streamed, chunks: chunks.with(1, {id: 'req-2', seq: 1})})],
			'a missing chunk': [startCall(1, stream), startRun(2), endCall(3, {...streamed, chunks: chunks.slice(1)})],
			'a stream without an end marker': [startCall(1, stream), startRun(2), endCall(3, {...streamed, chunks: chunks.slice(0, 1), isDone: false})],
			'the answer of another call': [startCall(1), startRun(2), endCall(3, {runDigest: 'digest-2'})],
			'an answer without a run': [startCall(1), endCall(3)],
		},
	},
	P8: {
		kept: [startCall(1), endCall(3, {status: 503, verdict: 'not-run'}), startCall(4, {attempt: 'call-1/2'}), startRun(5, {attempt: 'call-1/2'})],
		broken: {'a refusal of a call that runs later': [startCall(1), endCall(3, {status: 503, verdict: 'not-run'}), startRun(5)]},
	},
	P9: {
		kept: [startCall(1, order), startRun(2), endCall(3), startCall(4, {...order, attempt: 'call-1/2'}), endCall(5, {attempt: 'call-1/2', requestId: 'req-2'})],
		broken: {'a resend that runs again': [startCall(1, order), startRun(2), startCall(4, {...order, attempt: 'call-1/2'}), startRun(5, {attempt: 'call-1/2', requestId: 'req-2'})]},
	},
	P10: {kept: [leaveTarget(100), startCall(1900), startRun(2000)], broken: {'new work on a leaving target': [leaveTarget(100), startCall(2100), startRun(2200)]}},
	P11: {
		kept: [startCall(900, stream), startRun(910), ...stopHost(0), endCall(2000, {...streamed, chunks})],
		broken: {
			'a stream cut by a stop': [startCall(900, stream), startRun(910), ...stopHost(0), endCall(2000, {...streamed, end: 'broken', isDone: false})],
			'a stop with exit code 1': stopHost(1),
		},
	},
	P12: {
		kept: [readVersion(1, 1), ...runOperation(10, 'apply', 'change-1', {result: 'accepted', version: 2, digest: 'document-2'}), readVersion(30, 2)],
		broken: {
			'a host that reverts to an older version': [readVersion(1, 2), readVersion(2, 1)],
			'one version granted to two changes': [
				...runOperation(10, 'apply', 'change-1', {result: 'accepted', version: 2, digest: 'document-2'}),
				...runOperation(11, 'apply', 'change-2', {result: 'accepted', version: 2, digest: 'document-2'}),
			],
			'two documents of one version': [readVersion(1, 2), readVersion(2, 2, 'document-3')],
			'a resent change that is applied twice': [
				...runOperation(10, 'apply', 'change-1', {result: 'accepted', version: 2, digest: 'document-2'}),
				...runOperation(40, 'apply', 'change-1', {result: 'accepted', version: 3, digest: 'document-3'}),
			],
			'a lost change': [...runOperation(10, 'apply', 'change-1', {result: 'accepted', version: 2, digest: 'document-2'}), readVersion(30, 1)],
		},
	},
};

// Guards against a check that passes because it examines nothing.
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

	it('allows a partitioned host to serve open routes, but not keyed calls, in a zone out of service', () => {
		const cut: HistoryEvent = {
			kind: 'fault-begun', atMs: 50, fault: 'fault-1', faultKind: 'cut-zone', subject: 'zone-a',
		};
		const open = [...zoneOut, cut, startCall(8000, {isKeyed: false}), startRun(8010, {bodyDigest: digest})];
		const keyed = [...zoneOut, cut, startCall(8000), startRun(8010)];
		expect([open, keyed].map(events => checkHistory(createHistory(events)).find(({promise}) => promise === 'P6')?.findings.length)).to.deep.equal([0, 1]);
	});
});
