import type {Clock, Logger, Random} from '@egretrill/common';
import {CallPacer} from './call-pacer.js';
import {DUTY_CHECK_INTERVAL_MS} from './constants.js';
import type {Duty} from './duty.js';
import type {DutyObserver} from './duty-observer.js';

export type ProviderDutiesOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly callsPerSecond: number;
	/** Time from which no earlier holder may call any more. */
	readonly firstCallAtMs: number;
	readonly observer: DutyObserver;
	/** Whether this host holds the duties now. */
	readonly mayCall: () => boolean;
	/** The duties, in the order of their first calls; afterwards they take turns. */
	readonly duties: readonly Duty[];
};

/** The task of the holder of the duties: brings the log up to date and makes the calls that are due, one at a time. */
export class ProviderDuties {
	private readonly pacer: CallPacer;
	/** The duties, the one whose last call is the longest ago first, so that a backlog or failures of one do not hold up the others. */
	private turns: readonly Duty[];

	constructor(private readonly opts: ProviderDutiesOptions) {
		this.pacer = new CallPacer(opts.clock, opts.random, opts.callsPerSecond, opts.firstCallAtMs);
		this.turns = opts.duties;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, logger, observer} = this.opts;
		while (!signal.aborted) {
			try {
				await this.runOnce();
			} catch (err) {
				logger.error({err}, 'The duties towards the provider failed unexpectedly.');
				this.pacer.record('unknown');
			}

			await clock.sleep(DUTY_CHECK_INTERVAL_MS, signal);
		}

		observer.record({kind: 'unconfirmed', windows: 0});
	}

	private async runOnce(): Promise<void> {
		const {duties, mayCall} = this.opts;
		for (const duty of duties) {
			if (mayCall()) {
				await duty.update();
			}
		}

		if (mayCall() && this.pacer.mayCall()) {
			await this.makeDueCall();
		}
	}

	private async makeDueCall(): Promise<void> {
		const {clock, mayCall, observer} = this.opts;
		for (const duty of this.turns) {
			const call = duty.getDueCall();
			if (call) {
				this.turns = [...this.turns.filter(other => other !== duty), duty];
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
