import type {Verdict} from './types.js';

/** A failure that carries the truth about whether the request ran. */
export class VerdictError extends Error {
	override readonly name = 'VerdictError';
	readonly verdict: Verdict;

	constructor(verdict: Verdict, opts?: ErrorOptions) {
		super(verdict.reason, opts);
		this.verdict = verdict;
	}
}

/** A refusal before anything reached a target. */
export function refuse(status: number, code: string, reason: string, retryAfterMs?: number): Verdict {
	return {
		run: 'not-run', status, code, reason, ...(retryAfterMs !== undefined && {retryAfterMs}),
	};
}

/** A failure after which the target may have acted. */
export function mayHaveRun(status: number, code: string, reason: string): Verdict {
	return {
		run: 'may-have-run', status, code, reason,
	};
}

/** Type guard for failures that already carry a verdict. */
export function isVerdictError(err: unknown): err is VerdictError {
	return err instanceof VerdictError;
}
