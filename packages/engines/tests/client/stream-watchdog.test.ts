import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {STREAM_PROGRESS_DEADLINE_MS} from '../../src/constants.js';
import {StreamWatchdog} from '../../src/client/stream-watchdog.js';

/** Tells when the watch looks at the time. */
class WatchedClock extends ManualClock {
	/** Called each time the clock is read. */
	onLook: () => void = () => undefined;

	override now(): number {
		this.onLook();
		return super.now();
	}

	/** Resolves the next time the clock is read. */
	async waitForLook(): Promise<void> {
		await new Promise<void>(resolve => {
			this.onLook = resolve;
		});
		this.onLook = () => undefined;
	}
}

describe('watch over an engine\'s stream', () => {
	let clock: WatchedClock;
	let stop: AbortController;
	let watch: StreamWatchdog;

	beforeEach(() => {
		clock = new WatchedClock();
		stop = new AbortController();
		watch = new StreamWatchdog(clock, stop);
	});

	afterEach(() => {
		watch.close();
	});

	/** Lets time pass in which only heartbeats arrive, and the watch look at it. */
	async function passWithHeartbeats(ms: number): Promise<string | undefined> {
		clock.advance(ms);
		watch.recordBytes();
		await clock.waitForLook();
		return watch.getCause();
	}

	// Guards against a live stream that is broken off because its caller read nothing for a long time.
	it('does not count the time in which the caller reads nothing against the engine', async () => {
		watch.recordProgress();
		watch.pause();
		clock.advance(2 * STREAM_PROGRESS_DEADLINE_MS);
		watch.resume();
		const first = await passWithHeartbeats(STREAM_PROGRESS_DEADLINE_MS - 1);
		watch.pause();
		clock.advance(STREAM_PROGRESS_DEADLINE_MS);
		watch.resume();
		const atDeadline = await passWithHeartbeats(1);
		const afterwards = await passWithHeartbeats(1);
		expect({
			first, atDeadline, afterwards, isStopped: stop.signal.aborted,
		}).toMatchSnapshot();
	});
});
