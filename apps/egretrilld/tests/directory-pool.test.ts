import type {TargetRequirements} from '@egretrill/callers';
import {MonotonicClock, refuse, Signal} from '@egretrill/common';
import {expect} from 'chai';
import {Result} from 'true-myth';
import {DirectoryPool, type DirectoryPoolOptions} from '../src/targets/directory-pool.js';

const MODEL = 'inscription';
const CHOICE_MS = 10_000;

describe('DirectoryPool', () => {
	// Guards against a second request that gets the slot of one whose target is still being chosen.
	it('counts no slot as free for which a request has left the queue', async () => {
		const clock = new MonotonicClock();
		const loading = new Signal();
		const stopping = new AbortController();
		const pool = new DirectoryPool({
			clock,
			logger: {info: () => undefined},
			getZoneConditions: () => ({}),
			config: {getIndex: () => undefined},
			directory: {getFreeSlots: () => 1, getCandidates: () => ({candidates: [], setAside: {}})},
			policy: {
				choose: (_candidates: unknown, {excluded}: {excluded: readonly unknown[]}) => excluded.length === 0
					? Result.ok({targetId: 'engine', adapterResident: false})
					: Result.err(refuse(404, 'unknown-model', 'Every target was tried.')),
			},
			adapters: {
				async load() {
					loading.notify();
					await clock.sleep(CHOICE_MS, stopping.signal);
					return false;
				},
			},
		} as unknown as DirectoryPoolOptions);
		const before = pool.getFreeSlots(MODEL);
		const started = loading.wait(clock, CHOICE_MS, stopping.signal);
		void pool.choose({model: MODEL, excluded: new Set<string>(), timeoutMs: CHOICE_MS} as unknown as TargetRequirements, stopping.signal);
		await started;
		const during = pool.getFreeSlots(MODEL);
		stopping.abort();
		expect({before, during, other: pool.getFreeSlots('other')}).to.deep.equal({before: 1, during: 0, other: 1});
	});
});
