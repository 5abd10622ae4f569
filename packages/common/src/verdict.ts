import type {Verdict} from './types.js';

/** A failure with its verdict, which states whether the request ran. */
export class VerdictError extends Error {
	override readonly name = 'VerdictError';
	readonly verdict: Verdict;

	constructor(verdict: Verdict, opts?: ErrorOptions) {
		super(verdict.reason, opts);
		this.verdict = verdict;
	}
}

/** Creates the verdict of a request that was refused before any of it was sent to a target. */
export function refuse(status: number, code: string, reason: string, retryAfterMs?: number): Verdict {
	return {
		run: 'not-run', status, code, reason, ...(retryAfterMs !== undefined && {retryAfterMs}),
	};
}

/** Creates the verdict of a request that failed after it may have run at its target. */
export function mayHaveRun(status: number, code: string, reason: string): Verdict {
	return {
		run: 'may-have-run', status, code, reason,
	};
}

/** Whether a failure already has a verdict. */
export function isVerdictError(err: unknown): err is VerdictError {
	return err instanceof VerdictError;
}
