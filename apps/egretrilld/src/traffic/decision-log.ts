import {type Clock, type Logger} from '@egretrill/common';
import {MAX_LOG_LINES_PER_SECOND} from '@egretrill/callers';

/** Writes decision lines up to a rate and says how many were left out; failures may use the whole rate, other lines half of it. */
export class DecisionLog {
	private tokens = MAX_LOG_LINES_PER_SECOND;
	private filledMs: number;
	private leftOut = 0;

	constructor(private readonly clock: Clock, private readonly logger: Logger) {
		this.filledMs = clock.now();
	}

	write(fields: Readonly<Record<string, unknown>>, message: string, isFailure: boolean): void {
		this.fill();
		if (this.tokens < (isFailure ? 1 : MAX_LOG_LINES_PER_SECOND / 2)) {
			this.leftOut += 1;
			return;
		}

		this.tokens -= 1;
		const leftOut = this.leftOut > 0 && {leftOut: this.leftOut};
		this.leftOut = 0;
		this.logger.info({...fields, ...leftOut}, message);
	}

	private fill(): void {
		const nowMs = this.clock.now();
		this.tokens = Math.min(MAX_LOG_LINES_PER_SECOND, this.tokens + ((nowMs - this.filledMs) * MAX_LOG_LINES_PER_SECOND / 1000));
		this.filledMs = nowMs;
	}
}
