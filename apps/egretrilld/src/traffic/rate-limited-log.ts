import type {Clock, Logger} from '@egretrill/common';
import {MAX_LOGGED_TEXT_LENGTH, WARNING_INTERVAL_MS} from './constants.js';

/** Texts chosen by another process. */
export type LoggedTexts = Readonly<Record<string, string>>;

/** Logs one kind of fault that other processes can cause at any rate, in short lines with a minimum interval. */
export class RateLimitedLog {
	private lastMs = Number.NEGATIVE_INFINITY;
	private suppressed = 0;

	constructor(private readonly clock: Clock, private readonly logger: Logger, private readonly message: string) {}

	/** Writes a line, or counts the fault for the next line. */
	warn(texts: LoggedTexts, counts: Readonly<Record<string, number>> = {}): void {
		const nowMs = this.clock.now();
		if (nowMs - this.lastMs < WARNING_INTERVAL_MS) {
			this.suppressed += 1;
			return;
		}

		this.lastMs = nowMs;
		const shortTexts = Object.fromEntries(Object.entries(texts).map(([name, text]) => [name, text.slice(0, MAX_LOGGED_TEXT_LENGTH)]));
		this.logger.warn({...shortTexts, ...counts, suppressed: this.suppressed}, this.message);
		this.suppressed = 0;
	}
}
