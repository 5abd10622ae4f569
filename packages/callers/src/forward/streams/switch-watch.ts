import {WAKE_REASON} from '@egretrill/common';
import {refuseBeforeStop} from '../stops/refuse-before-stop.js';
import {
	ANY_TARGET_SWITCH_MS, MAX_WAKE_DELAY_MS, SILENCE_REPORT_MS, SWITCH_RETRY_INTERVAL_MS,
} from '../constants.js';
import type {ForwardContext} from '../forward-context.js';
import {type AttemptSlot, takeFreeSlot} from '../waiting/slot-search.js';
import {endAttempt, type OpenAttempt, openAttempt} from '../attempts/open-attempt.js';
import {
	getTimeUntilSwitchMs, maySwitch, Silence, STREAM_WENT_ON,
} from './silence.js';

/** Prevents an unhandled rejection of a task that is awaited only later. */
async function markHandled(task: Promise<void>): Promise<void> {
	try {
		await task;
	} catch {
		// The exception is reported by the await of the task.
	}
}

/** Offers a resumable stream to other targets while it is silent, and goes on reading its own; each stream has its own task. */
export class SwitchWatch {
	readonly silence: Silence;
	private next: OpenAttempt | undefined;
	private readonly stopping = new AbortController();
	private readonly task: Promise<void>;

	constructor(private readonly context: ForwardContext, private readonly attempt: OpenAttempt) {
		this.silence = new Silence(context.deps.clock);
		this.task = this.run();
		void markHandled(this.task);
	}

	/** Whether another target goes on with the stream, so that this one is closed. */
	hasMoved(): boolean {
		return this.next !== undefined;
	}

	/** Ends the search for another target; a request that is already at one is cancelled if the stream is complete. */
	endSearch(isComplete: boolean): void {
		this.stopping.abort(WAKE_REASON);
		if (isComplete) {
			this.silence.recordEvent();
		}
	}

	/** Resolves after the end of the search with the attempt that goes on with the stream, if there is one. */
	async getNext(): Promise<OpenAttempt | undefined> {
		await this.task;
		return this.next;
	}

	private async run(): Promise<void> {
		const {signal} = this.stopping;
		while (!signal.aborted) {
			const remainingMs = SILENCE_REPORT_MS - this.getSilentMs();
			if (remainingMs > 0) {
				await this.sleepAndCatchUp(remainingMs);
				continue;
			}

			// Reported once per silence, so that a single dead connection does not keep a working target ranked last.
			this.attempt.slot.reportSilence();
			await this.searchWhileSilent();
			if (this.next) {
				return;
			}
		}
	}

	/** Sleeps; after a standstill of this host also until what arrived meanwhile has been read. */
	private async sleepAndCatchUp(ms: number): Promise<void> {
		const {clock} = this.context.deps;
		const {signal} = this.stopping;
		const dueMs = clock.now() + ms;
		await clock.sleep(ms, signal);
		if (clock.now() - dueMs > MAX_WAKE_DELAY_MS) {
			await clock.sleep(MAX_WAKE_DELAY_MS, signal);
		}
	}

	private async searchWhileSilent(): Promise<void> {
		const {signal} = this.stopping;
		while (!signal.aborted && this.getSilentMs() >= SILENCE_REPORT_MS) {
			const remainingMs = getTimeUntilSwitchMs(this.getSilentMs());
			if (remainingMs > 0) {
				await this.sleepAndCatchUp(remainingMs);
				continue;
			}

			await this.trySwitch();
			if (this.next) {
				return;
			}

			await this.sleepAndCatchUp(SWITCH_RETRY_INTERVAL_MS);
		}
	}

	/** Before its first event a stream is not silent, since the engine may still read the prompt. */
	private getSilentMs(): number {
		return this.context.exchange.hasStarted() ? this.silence.getDurationMs() : 0;
	}

	private async trySwitch(): Promise<void> {
		const {deps, service, progress, route, endsMs} = this.context;
		const retries = deps.getRetries(service);
		const isAllowed = !refuseBeforeStop({...this.context, hasStarted: true}, 'switch') && maySwitch({
			attempts: progress.attempts, maxAttempts: route.maxAttempts, hasRetry: retries.hasRetry(), timeLeftMs: endsMs - deps.clock.now(), lastEventId: progress.eventOrder?.canContinue() ? progress.lastEventId : undefined,
		});
		const slot = isAllowed ? takeFreeSlot(this.context, this.getSilentMs() < ANY_TARGET_SWITCH_MS) : undefined;
		if (slot) {
			retries.tryConsumeRetry();
			const isSent = await this.offerTo(slot);
			if (!isSent) {
				retries.returnRetry();
			}
		}
	}

	/** Sends the request to another target, and closes the silent answer as soon as that one has answered; resolves with false if the target was not reached. */
	private async offerTo(slot: AttemptSlot): Promise<boolean> {
		const wentOn = this.silence.getNextEventSignal();
		const opened = await openAttempt(this.context, slot, AbortSignal.any([this.context.signal, wentOn]));
		if (opened.kind !== 'open') {
			return opened.kind === 'broken' || opened.slotOutcome !== 'unreachable';
		}

		if (opened.signal.aborted) {
			opened.answer.destroy();
			endAttempt(this.context, opened, {kind: 'broken', reason: wentOn.aborted ? STREAM_WENT_ON : 'The request has ended.', slotOutcome: 'answered'});
			return true;
		}

		this.next = opened;
		this.attempt.answer.destroy();
		return true;
	}
}
