import type {Clock, Random} from '@egretrill/common';
import {CallPacer} from './call-pacer.js';
import {DUTY_CHECK_INTERVAL_MS} from './constants.js';
import type {Duty} from './duty.js';
import type {DutyObserver} from './duty-observer.js';

export type ProviderDutiesOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly callsPerSecond: number;
	/** Time from which no earlier holder may call any more. */
	readonly firstCallAtMs: number;
	readonly observer: DutyObserver;
	/** Whether this host holds the duties now. */
	readonly mayCall: () => boolean;
	/** The duties, the most urgent first. */
	readonly duties: readonly Duty[];
};

/** The task of the holder of the duties: brings the log up to date and makes the calls that are due, one at a time. */
export class ProviderDuties {
	private readonly pacer: CallPacer;

	constructor(private readonly opts: ProviderDutiesOptions) {
		this.pacer = new CallPacer(opts.clock, opts.random, opts.callsPerSecond, opts.firstCallAtMs);
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, duties, mayCall} = this.opts;
		while (!signal.aborted) {
			for (const duty of duties) {
				if (mayCall()) {
					await duty.update();
				}
			}

			if (mayCall() && this.pacer.mayCall()) {
				await this.makeDueCall();
			}

			await clock.sleep(DUTY_CHECK_INTERVAL_MS, signal);
		}
	}

	private async makeDueCall(): Promise<void> {
		const {clock, duties, mayCall, observer} = this.opts;
		for (const duty of duties) {
			const call = duty.getDueCall();
			if (call) {
				const startedMs = clock.now();
				const outcome = await call.send(mayCall);
				this.pacer.record(outcome);
				observer.record({
					kind: 'call', duty: call.duty, outcome, tookMs: clock.now() - startedMs,
				});
				await call.record(outcome);
				return;
			}
		}
	}
}
