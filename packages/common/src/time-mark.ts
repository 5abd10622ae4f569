import type {Clock} from './clock.js';

/** Supplies the time of day, which unlike the clock counts the time while a machine is suspended. */
export type TimeOfDay = () => number;

/** A point in time from which a duration is measured that must not be too short. */
export class TimeMark {
	private readonly startedMs: number;
	private readonly startedTimeOfDayMs: number;

	constructor(private readonly clock: Clock, private readonly getTimeOfDayMs: TimeOfDay) {
		this.startedMs = clock.now();
		this.startedTimeOfDayMs = getTimeOfDayMs();
	}

	/** The longer of the times that the clock and the time of day have counted: one stands still while the machine is suspended, the other may be set back. */
	getElapsedMs(): number {
		return Math.max(this.clock.now() - this.startedMs, this.getTimeOfDayMs() - this.startedTimeOfDayMs);
	}
}
