import {isAnswerStatus, type TargetAnswer} from '@egretrill/common';
import {Result} from 'true-myth';
import type {AnswerMetadata} from '../types.js';

export const STATUS_MISDIRECTED = 421;
export const STATUS_UNAVAILABLE = 503;
export const STATUS_REDIRECT = 300;
/** Statuses that guarantee to a caller that its request was not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 429, 503]);

/** What an answer is for its request: an answer to relay, or a refusal that proves that the target did not run it. */
export type AnswerKind = 'answer' | 'refusal';

/** Decides what an answer is for the attempt; an error says why it must not be used. */
export function checkAnswer({status, isConnectionReused}: Pick<TargetAnswer, 'status' | 'isConnectionReused'>, metadata: AnswerMetadata, attemptId: string): Result<AnswerKind, string> {
	if (!isAnswerStatus(status)) {
		return Result.err(`The target answered with the invalid status ${status} and may have run the request.`);
	}

	if (metadata.attemptId === undefined && isConnectionReused) {
		// A faulty target may repeat the answer to an earlier request on this connection.
		return Result.err('The answer names no request, and its connection has carried an earlier one.');
	}

	if (metadata.attemptId !== undefined && metadata.attemptId !== attemptId) {
		return Result.err('The answer belongs to another request.');
	}

	if (metadata.isNotExecuted || status === STATUS_MISDIRECTED) {
		return Result.ok('refusal');
	}

	if (!metadata.isSigned || (status < STATUS_REDIRECT && metadata.attemptId === undefined)) {
		return Result.err('The answer does not carry the signature of a target.');
	}

	// These statuses guarantee to callers that nothing was run, but the target did not mark its answer as not executed.
	return notRunStatuses.has(status) ? Result.err(`The target answered ${status} and may have run the request.`) : Result.ok('answer');
}
