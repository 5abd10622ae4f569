import {MAX_SENDS} from './constants.js';
import type {CallFailure} from './types.js';

export type SendState = {
	/** Sends so far. */
	readonly sends: number;
	/** Whether an earlier send may still have had its effect. */
	readonly isUnknown: boolean;
	/** Whether the host answered, rather than the connection failing. */
	readonly isAnswer: boolean;
};

export type ResendDecision = {readonly resend: boolean; readonly failure: CallFailure};

/** Decides whether a change without a definite outcome is sent again under its request id. */
export function decideResend(failure: CallFailure, {sends, isUnknown, isAnswer}: SendState): ResendDecision {
	// A later send that had no effect does not settle an earlier one whose answer was lost.
	const effect = isUnknown ? 'unknown' : failure.effect;
	const canSettle = effect === 'unknown' || isAnswer;
	return {resend: canSettle && sends < MAX_SENDS, failure: {...failure, effect}};
}
