import {expect} from 'chai';
import fc from 'fast-check';
import {EventOrder} from '../../src/forward/index.js';

const SEED = 7;
const RUN_LENGTH = 8;

/** How a target departs from the events that follow the delivered ones. */
const faults = ['none', 'starts again', 'skips the next event', 'repeats an event', 'goes back', 'sends nothing', 'sends no ids'] as const;
type Fault = (typeof faults)[number];

/** Ids of one answer, undefined for an event without an id, and whether it claims to end the stream. */
type Answer = {readonly ids: ReadonlyArray<number | undefined>; readonly isEnd: boolean};

/** Builds the answer of a target to a request that has received `delivered` of the events; it breaks off after `length` events unless they reach the end. */
function createAnswer(run: readonly number[], delivered: number, fault: Fault, length: number): Answer {
	const rest = run.slice(fault === 'starts again' ? 0 : delivered);
	const sent = rest.slice(0, length);
	const isEnd = length >= rest.length;
	const [first, ...others] = sent;
	switch (fault) {
		case 'skips the next event': {
			// A run that has sent no event or all of them has no next one to skip.
			return delivered === 0 || others.length === 0 ? {ids: sent, isEnd} : {ids: others, isEnd};
		}

		case 'repeats an event': {
			return {ids: first === undefined ? [] : [first, ...sent], isEnd};
		}

		case 'goes back': {
			return {ids: [...sent, ...run.slice(0, 1)], isEnd};
		}

		case 'sends nothing': {
			return {ids: [], isEnd: delivered > 0};
		}

		case 'sends no ids': {
			return {ids: delivered === 0 ? sent : sent.map(() => undefined), isEnd};
		}

		default: {
			return {ids: sent, isEnd};
		}
	}
}

/** Relays the events of one answer; returns the ids that reach the caller and whether the answer is faulty. */
function relayAnswer(order: EventOrder, ids: ReadonlyArray<number | undefined>): {readonly relayed: ReadonlyArray<number | undefined>; readonly isFaulty: boolean} {
	const relayed: Array<number | undefined> = [];
	const held: Array<number | undefined> = [];
	order.beginAnswer();
	for (const id of ids) {
		const verdict = order.addEvent({id, hasData: true});
		if (verdict.isErr) {
			return {relayed, isFaulty: true};
		}

		switch (verdict.value) {
			case 'hold': {
				held.push(id);

				break;
			}

			case 'release': {
				relayed.push(...held.splice(0), id);

				break;
			}

			case 'relay': {
				relayed.push(id);

				break;
			}
		// No default
		}
	}

	return {relayed, isFaulty: false};
}

/** Relays answers until one ends the stream; returns the delivered ids and whether the stream ended. */
function relayAnswers(run: readonly number[], plan: ReadonlyArray<readonly [Fault, number]>): {readonly delivered: ReadonlyArray<number | undefined>; readonly isEnded: boolean} {
	const order = new EventOrder(undefined);
	const delivered: Array<number | undefined> = [];
	for (const [fault, length] of plan) {
		const {ids, isEnd} = createAnswer(run, delivered.length, fault, length);
		const {relayed, isFaulty} = relayAnswer(order, ids);
		delivered.push(...relayed);
		if (!isFaulty && isEnd && order.findEndFault() === undefined) {
			return {delivered, isEnded: true};
		}
	}

	return {delivered, isEnded: false};
}

describe('EventOrder', () => {
	// Guards against a piece that is missing or comes twice, and against an early end, however the answers of several targets break off and depart from the stream.
	it('lets events through only in the order of the run, and an end only after the last one', () => {
		const plans = fc.array(fc.tuple(fc.constantFrom(...faults), fc.integer({min: 0, max: RUN_LENGTH})), {minLength: 1, maxLength: 6});
		let endedCount = 0;
		fc.assert(fc.property(plans, fc.integer({min: 1, max: 6}), (plan, step) => {
			const run = Array.from({length: RUN_LENGTH}, (_, i) => (i + 1) * step);
			const {delivered, isEnded} = relayAnswers(run, plan);
			expect(delivered).to.deep.equal(run.slice(0, delivered.length));
			expect(!isEnded || delivered.length === RUN_LENGTH).to.equal(true);
			endedCount += isEnded ? 1 : 0;
		}), {seed: SEED, numRuns: 2000});
		expect(endedCount).to.be.greaterThan(0);
	});

	// Guards against a break of a stream whose next target cuts the text into larger events, and against a gap in a stream whose first id is large.
	it('allows a larger step to a continuation only if its own steps are as large', () => {
		const continueAfter = (delivered: readonly number[], ...ids: readonly number[]): unknown => {
			const order = new EventOrder(undefined);
			relayAnswer(order, delivered);
			const {relayed, isFaulty} = relayAnswer(order, ids);
			return {relayed, isSound: !isFaulty && order.findEndFault() === undefined, lastEventId: order.lastEventId};
		};

		expect({
			'larger steps': continueAfter([1, 2, 3], 6, 9, 12),
			'a gap in steps of one': continueAfter([1, 2, 3], 5, 6),
			'a gap after a large first id': continueAfter([100, 101, 102], 110, 111),
			'one event after a large first id': continueAfter([100, 101, 102], 110),
			'the next event after a large first id': continueAfter([100, 101, 102], 103),
			'a step of the stream': continueAfter([5, 10], 15, 16),
			'a larger step within the continuation': continueAfter([1, 2, 3], 4, 9, 10),
			'steps that were seen at one target only': continueAfter([5], 10, 15),
		}).to.deep.equal({
			'larger steps': {relayed: [6, 9, 12], isSound: true, lastEventId: 12},
			'a gap in steps of one': {relayed: [], isSound: false, lastEventId: 3},
			'a gap after a large first id': {relayed: [], isSound: false, lastEventId: 102},
			'one event after a large first id': {relayed: [], isSound: false, lastEventId: 102},
			'the next event after a large first id': {relayed: [103], isSound: true, lastEventId: 103},
			'a step of the stream': {relayed: [15, 16], isSound: true, lastEventId: 16},
			'a larger step within the continuation': {relayed: [4, 9, 10], isSound: true, lastEventId: 10},
			'steps that were seen at one target only': {relayed: [10, 15], isSound: true, lastEventId: 15},
		});
	});
});
