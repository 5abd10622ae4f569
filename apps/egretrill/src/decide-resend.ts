import {MAX_SEND_ATTEMPTS} from './constants.js';
import type {CallFailure} from './types.js';

export type SendState = {
	/** Number of sends so far. */
	readonly attempts: number;
	/** Whether an earlier send may have been applied. */
	readonly isEarlierOutcomeUnknown: boolean;
	/** Whether the host answered; false if the connection failed. */
	readonly isAnswered: boolean;
};

export type ResendDecision = {readonly resend: boolean; readonly failure: CallFailure};

/** Decides whether a change without a definite outcome is sent again under its request id. */
export function decideResend(failure: CallFailure, {attempts, isEarlierOutcomeUnknown, isAnswered}: SendState): ResendDecision {
	// A later send without an effect does not prove that an earlier one, whose answer was lost, had none.
	const effect = isEarlierOutcomeUnknown ? 'unknown' : failure.effect;
	const canResolve = effect === 'unknown' || isAnswered;
	return {resend: canResolve && attempts < MAX_SEND_ATTEMPTS, failure: {...failure, effect}};
}
