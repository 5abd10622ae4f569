import {mayHaveRun, refuse, type Verdict} from '@egretrill/common';
import {Result} from 'true-myth';
import {STOP_RETRY_AFTER_MS} from './constants.js';
import type {RunResult} from './run-on-targets.js';

/** Signals that end a request: its caller disconnects, or this host stops. */
export type RequestSignals = {readonly disconnected: AbortSignal; readonly stopping: AbortSignal};

/** A signal that aborts with either of two others, until it is unlinked. */
export type LinkedSignal = {readonly signal: AbortSignal; readonly unlink: () => void};

/** Codes of refusals that only say that the request was aborted. */
const abortCodes: ReadonlySet<string> = new Set(['cancelled', 'caller-gone']);

/** The refusal of a request because this host stops. */
export function refuseAtStop(): Verdict {
	return refuse(503, 'stopping', 'This host is shutting down.', STOP_RETRY_AFTER_MS);
}

/** Links the signals of a request; `AbortSignal.any` would leave an entry for each request in the signal of the host. */
export function linkSignals({disconnected, stopping}: RequestSignals): LinkedSignal {
	const aborter = new AbortController();
	const abort = (): void => {
		aborter.abort();
	};

	const signals = [disconnected, stopping];
	for (const signal of signals) {
		signal.addEventListener('abort', abort, {once: true});
	}

	if (signals.some(({aborted}) => aborted)) {
		abort();
	}

	return {
		signal: aborter.signal,
		unlink() {
			for (const signal of signals) {
				signal.removeEventListener('abort', abort);
			}
		},
	};
}

/** The result of a request that the stop of this host aborted; the caller is told whether a target may have run it. */
export function getResultAtStop(result: Result<RunResult, Verdict>): Result<RunResult, Verdict> {
	if (result.isOk ? result.value.kind !== 'cancelled' : !abortCodes.has(result.error.code)) {
		return result;
	}

	return Result.err(result.isErr && result.error.run === 'not-run'
		? refuseAtStop()
		: mayHaveRun(503, 'stopping', 'This host shut down before the target had answered.'));
}
