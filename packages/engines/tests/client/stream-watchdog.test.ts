import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {STREAM_PROGRESS_DEADLINE_MS} from '../../src/constants.js';
import {StreamWatchdog} from '../../src/client/stream-watchdog.js';

/** Signals when the watchdog reads the time. */
class ObservedClock extends ManualClock {
	/** Called each time the clock is read. */
	onRead: () => void = () => undefined;

	override now(): number {
		this.onRead();
		return super.now();
	}

	/** Resolves the next time the clock is read. */
	async waitForRead(): Promise<void> {
		await new Promise<void>(resolve => {
			this.onRead = resolve;
		});
		this.onRead = () => undefined;
	}
}

describe('StreamWatchdog', () => {
	let clock: ObservedClock;
	let stop: AbortController;
	let watchdog: StreamWatchdog;

	beforeEach(() => {
		clock = new ObservedClock();
		stop = new AbortController();
		watchdog = new StreamWatchdog(clock, stop);
	});

	afterEach(() => {
		watchdog.close();
	});

	/** Advances the clock while only heartbeats arrive, and waits for the watchdog's next check and the one after it; the first takes a long step of the clock for a standstill. */
	async function advanceWithHeartbeats(ms: number): Promise<string | undefined> {
		clock.advance(ms);
		watchdog.recordBytes();
		await clock.waitForRead();
		await clock.waitForRead();
		return watchdog.getCause();
	}

	// Guards against aborting a healthy stream because its caller did not read for a long time.
	it('excludes the time in which the caller does not read from the progress deadline', async () => {
		watchdog.recordProgress();
		watchdog.pause();
		clock.advance(2 * STREAM_PROGRESS_DEADLINE_MS);
		watchdog.resume();
		const first = await advanceWithHeartbeats(STREAM_PROGRESS_DEADLINE_MS - 1);
		watchdog.pause();
		clock.advance(STREAM_PROGRESS_DEADLINE_MS);
		watchdog.resume();
		const atDeadline = await advanceWithHeartbeats(1);
		const afterwards = await advanceWithHeartbeats(1);
		expect({
			first, atDeadline, afterwards, isStopped: stop.signal.aborted,
		}).toMatchSnapshot();
	});
});
