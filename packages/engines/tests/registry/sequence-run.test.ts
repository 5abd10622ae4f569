import {ManualClock, MAX_SOUND_SILENCE_MS, type Registration} from '@egretrill/common';
import {expect} from 'chai';
import fc from 'fast-check';
import {MAX_DELAYED_CALLS, REGISTRATION_TTL_MS, TargetRegistry} from '../../src/registry/index.js';

const SEED = 17;
const HEARTBEAT_MS = 1200;
const HUGE = 1_000_000_000;

function register(sequence: number, changes: Partial<Registration> = {}): Registration {
	return {
		targetId: 't1', startedAtMs: 1000, sequence, service: 'drafts', address: '127.0.0.1:9000', zone: 'a', slots: 8, isLeaving: false, coldForMs: 0, models: [], inMemory: [], onDisk: [], ...changes,
	};
}

const odd = register(HUGE, {slots: 1});

/** Registers an engine's own sequences one heartbeat apart; returns those that count after each. */
function runEngine(clock: ManualClock, registry: TargetRegistry, first: number, count: number): ReadonlyArray<number | undefined> {
	const counting: Array<number | undefined> = [];
	for (let sequence = first; sequence < first + count; sequence++) {
		registry.accept(register(sequence));
		counting.push(registry.get('t1')?.sequence);
		clock.advance(HEARTBEAT_MS);
		registry.sweep();
	}

	return counting;
}

describe('sequences of registrations', () => {
	// Guards against an odd entry that blocks the registrations of a known engine until it restarts.
	it('of an engine count beside an entry with a huge one', () => {
		const clock = new ManualClock();
		const registry = new TargetRegistry(clock, 'r1');
		runEngine(clock, registry, 1, 3);
		registry.accept(odd);
		expect(registry.get('t1')?.slots).to.equal(8);
		expect(runEngine(clock, registry, 4, 4)).to.deep.equal([4, 5, 6, 7]);
	});

	// Guards against the same at a control host that learned of the odd entry first.
	it('of an engine count again a few heartbeats after an entry with a huge one', () => {
		const clock = new ManualClock();
		const registry = new TargetRegistry(clock, 'r1');
		registry.accept(odd);
		expect(runEngine(clock, registry, 90, 5).slice(-2)).to.deep.equal([93, 94]);
		registry.merge([{registration: odd, ageMs: 5 * HEARTBEAT_MS, hasEnded: false}]);
		expect(runEngine(clock, registry, 95, 3)).to.deep.equal([95, 96, 97]);
	});

	// Guards against an engine that is not heard after its host was cut off from a control host for a while.
	it('count after a gap as long as the calls that were missed', () => {
		const clock = new ManualClock();
		const registry = new TargetRegistry(clock, 'r1');
		runEngine(clock, registry, 1, 3);
		clock.advance(1000 * HEARTBEAT_MS);
		expect(runEngine(clock, registry, 1004, 2)).to.deep.equal([1004, 1005]);
	});

	// Guards against an engine whose sequence grows by more than one with each call, and whose registrations would be set aside.
	it('count at once whatever their step', () => {
		for (const step of [1, 7, 1000, 1_000_000]) {
			const clock = new ManualClock();
			const registry = new TargetRegistry(clock, 'r1');
			const counting = Array.from({length: 6}, (_, i) => {
				registry.accept(register(i * step));
				clock.advance(HEARTBEAT_MS);
				return registry.get('t1')?.sequence;
			});
			expect(counting, `step ${step}`).to.deep.equal([0, 1, 2, 3, 4, 5].map(i => i * step));
		}
	});

	// Guards against an entry with a low sequence that keeps out the engine's own, which are far ahead.
	it('of an engine count a few heartbeats after an entry with a low one', () => {
		const clock = new ManualClock();
		const registry = new TargetRegistry(clock, 'r1');
		registry.accept(register(1, {slots: 1}));
		expect(runEngine(clock, registry, 90_000, 5).slice(-2)).to.deep.equal([90_003, 90_004]);
	});

	// Guards against an odd entry that replaces a sound engine because the engine was silent for 1.6 s between two heartbeats.
	it('of an engine count after a silence beside an entry that goes on', () => {
		const clock = new ManualClock();
		const registry = new TargetRegistry(clock, 'r1');
		runEngine(clock, registry, 1, 3);
		registry.accept(register(4));
		registry.accept(odd);
		clock.advance(HEARTBEAT_MS + MAX_SOUND_SILENCE_MS);
		registry.accept(register(HUGE + 1, {slots: 1}));
		expect(runEngine(clock, registry, 5, 2)).to.deep.equal([5, 6]);
	});

	// Guards against a delayed registration that replaces a later one, however many arrive and however long the later one has been silent.
	it('do not go back to delayed registrations', () => {
		const arrivals = fc.array(fc.tuple(fc.integer({min: 1, max: MAX_DELAYED_CALLS}), fc.integer({min: 0, max: REGISTRATION_TTL_MS})), {maxLength: 20});
		fc.assert(fc.property(arrivals, delayed => {
			const clock = new ManualClock();
			const registry = new TargetRegistry(clock, 'r1');
			registry.accept(register(MAX_DELAYED_CALLS + 1, {isLeaving: true}));
			for (const [sequence, waitMs] of delayed) {
				clock.advance(waitMs);
				registry.accept(register(sequence));
				expect(registry.get('t1')?.isLeaving).to.equal(true);
			}
		}), {seed: SEED});
	});

	// Guards against requests to an engine that was told that it may leave, although its registration was set aside.
	it('are not acknowledged while the target that says it leaves is used', () => {
		const clock = new ManualClock();
		const registry = new TargetRegistry(clock, 'r1');
		runEngine(clock, registry, 1, 10);
		const answers = [40, 41, 42, 43].map(sequence => {
			const leaving = register(sequence, {isLeaving: true});
			registry.accept(leaving);
			clock.advance(HEARTBEAT_MS);
			return {isIgnored: registry.ignoresLeaving(leaving), isLeaving: registry.get('t1')?.isLeaving};
		});
		expect(answers).to.deep.equal([true, true, false, false].map(isIgnored => ({isIgnored, isLeaving: !isIgnored})));
		expect(registry.ignoresLeaving(register(5)), 'a delayed one').to.equal(false);
		expect(registry.ignoresLeaving(register(44, {startedAtMs: 1, isLeaving: true})), 'an earlier process').to.equal(false);
	});
});
