import type {Accepted, Conflict, Unavailable} from '@egretrill/operators';
import type {z} from 'zod';
import {
	EXIT_CONFLICT, EXIT_DONE, EXIT_FAILED, EXIT_UNKNOWN,
} from './constants.js';
import type {CallFailure, Report} from './types.js';

/** Reports a success. */
export function reportDone(text: string, data: unknown): Report {
	return {exitCode: EXIT_DONE, text, data};
}

/** Reports that the host refused the operation. */
export function reportRefused(text: string, data: unknown): Report {
	return {exitCode: EXIT_FAILED, text, data};
}

/** Reports a read that failed or received no valid answer. */
export function reportReadFailure(failure: CallFailure): Report {
	const {code, reason} = failure;
	return {exitCode: EXIT_FAILED, text: `Failed: ${reason} (${code})`, data: {result: 'failed', ...failure}};
}

/** Reports a change without a definite answer, and whether it may still take effect. */
export function reportChangeFailure(failure: CallFailure, requestId?: string): Report {
	const {effect, code, reason} = failure;
	const data = {result: 'unavailable', ...failure, requestId};
	if (effect === 'not-applied') {
		return {exitCode: EXIT_FAILED, text: `Failed, nothing was changed: ${reason} (${code})`, data};
	}

	const advice = requestId === undefined ? '' : `\nRepeat the command with --request-id ${requestId} to learn the outcome.`;
	return {exitCode: EXIT_UNKNOWN, text: `Outcome unknown: ${reason} (${code})${advice}`, data};
}

/** Converts an `unavailable` answer into a failure. */
export function toCallFailure({effect, reason}: Unavailable): CallFailure {
	return {effect, code: 'unavailable', reason};
}

export function reportAccepted(outcome: z.infer<typeof Accepted>): Report {
	return reportDone(`Accepted: version ${outcome.version} by ${outcome.author} (digest ${outcome.digest})`, outcome);
}

export function reportConflict(outcome: z.infer<typeof Conflict>): Report {
	const {version, author, digest} = outcome.winner;
	return {exitCode: EXIT_CONFLICT, text: `Conflict: version ${version} by ${author} is in force (digest ${digest}); nothing was changed.`, data: outcome};
}
