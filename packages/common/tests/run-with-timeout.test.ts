import {once} from 'node:events';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'chai';
import {runWithTimeout} from '../src/index.js';

const TIMEOUT_MS = 100;
const LONG_TIMEOUT_MS = 60_000;
const COLLECTION_INTERVAL_MS = 10;
const WAITS = 20;

/** Waits for an event that does not come; returns how the wait ends. */
async function waitInVain(timeoutMs: number, caller: AbortSignal): Promise<string> {
	try {
		await runWithTimeout(timeoutMs, caller, async signal => once(new EventTarget(), 'never', {signal}));
		return 'answered';
	} catch (err: unknown) {
		return (err as Error).name;
	}
}

describe('runWithTimeout', () => {
	// Guards against a wait that never ends because a garbage collection has discarded its timeout.
	it('ends each wait in time while garbage is collected', async () => {
		setFlagsFromString('--expose-gc');
		const collections = setInterval(runInNewContext('gc') as () => void, COLLECTION_INTERVAL_MS);
		const caller = new AbortController();
		const ends = await Promise.all(Array.from({length: WAITS}, async () => waitInVain(TIMEOUT_MS, caller.signal)));
		clearInterval(collections);
		expect(new Set(ends)).to.deep.equal(new Set(['AbortError']));
	});

	// Guards against a task that outlasts its caller, or whose result is lost.
	it('ends with the signal of its caller, and with the result of its task', async () => {
		const caller = new AbortController();
		const waiting = waitInVain(LONG_TIMEOUT_MS, caller.signal);
		caller.abort();
		expect([await waiting, await runWithTimeout(LONG_TIMEOUT_MS, new AbortController().signal, async () => 'done')]).to.deep.equal(['AbortError', 'done']);
	});
});
