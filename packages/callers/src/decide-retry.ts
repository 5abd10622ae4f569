import {
	mayHaveRun, refuse, type SendFailure, type Verdict,
} from '@egretrill/common';
import {MAX_ATTEMPTS, MAX_ATTEMPTS_AFTER_CRASH} from './constants.js';

/** A failed attempt and how much of the answer the caller has already received. */
export type FailedAttempt = {
	readonly failure: SendFailure;
	readonly attempt: number;
	readonly isIdempotent: boolean;
	readonly isDeterministic: boolean;
	readonly deliveredChunks: number;
	readonly isProcessAnnounced: boolean;
	readonly hasProcessEnded: boolean;
};

export type RetryDecision =
	| {readonly next: 'other-target'}
	| {readonly next: 'resume-same'}
	| {readonly next: 'resume-other'}
	| {readonly next: 'give-up'; readonly verdict: Verdict};

function getFinalVerdict({failure, deliveredChunks}: FailedAttempt): Verdict {
	if (deliveredChunks > 0) {
		return {
			run: 'ran', status: 502, code: 'stream-broken', reason: 'The answer broke off and cannot be continued.',
		};
	}

	return failure.accepted
		? mayHaveRun(502, 'target-failed', 'The target failed after it may have received the request.')
		: refuse(503, 'target-unreachable', 'The target could not be reached.', 1000);
}

/** Decides what follows a failed attempt; `consumeRetry` takes a retry from the budget and returns false if there is none. */
export function decideRetry(failed: FailedAttempt, consumeRetry: () => boolean): RetryDecision {
	const noRetry: RetryDecision = {next: 'give-up', verdict: getFinalVerdict(failed)};
	const mayRetry = failed.isIdempotent || !failed.failure.accepted;
	const maxAttempts = failed.hasProcessEnded ? MAX_ATTEMPTS_AFTER_CRASH : MAX_ATTEMPTS;
	if (!mayRetry || failed.attempt >= maxAttempts) {
		return noRetry;
	}

	if (failed.deliveredChunks === 0) {
		return consumeRetry() ? {next: 'other-target'} : noRetry;
	}

	// The engine that started the answer holds its sampling state; another one generates the same text only if sampling is deterministic.
	if (failed.isProcessAnnounced && !failed.hasProcessEnded && consumeRetry()) {
		return {next: 'resume-same'};
	}

	return failed.isDeterministic && consumeRetry() ? {next: 'resume-other'} : noRetry;
}
