import {
	type CallIdentity, type CallOutcome, mayHaveRun, refuse, type Verdict,
} from '@egretrill/common';
import {Result} from 'true-myth';
import {OPEN_CUSTOMER} from './constants.js';
import type {Exchange} from './exchange-types.js';
import {sendAnswer} from './relay-answer.js';
import {runOnTargets, type RunResult} from './run-on-targets.js';

const IDEMPOTENCY_HEADER = 'idempotency-key';

function getCall({req, identity, deps, fingerprint}: Exchange, idempotencyKey: string): CallIdentity {
	const customer = identity.customer?.id ?? OPEN_CUSTOMER;
	return {
		customer, idempotencyKey, fingerprint, host: deps.hostId, attempt: req.requestId,
	};
}

/** Sends a recorded call that must not run twice. */
async function sendRecorded(exchange: Exchange, call: CallIdentity): Promise<Result<RunResult, Verdict>> {
	const {ledger} = exchange.deps;
	let answer: CallOutcome | undefined;
	const result = await runOnTargets({
		...exchange,
		// The answer is recorded before the caller receives it, so that a later resend gets the same answer.
		async beforeAnswer(completeAnswer) {
			answer = completeAnswer;
			await ledger.finish(call, completeAnswer);
		},
	});
	if (result.isErr && result.error.run === 'not-run' && answer === undefined) {
		await ledger.release(call);
	}

	return result;
}

/** Runs a non-idempotent request at most once, even if it is resent to other hosts. */
export async function runOnce(exchange: Exchange): Promise<Result<RunResult, Verdict>> {
	const idempotencyKey = exchange.req.headers[IDEMPOTENCY_HEADER];
	if (idempotencyKey === undefined || idempotencyKey === '') {
		return Result.err(refuse(400, 'idempotency-key-required', 'This route needs an Idempotency-Key header.'));
	}

	const call = getCall(exchange, idempotencyKey);
	const record = await exchange.deps.ledger.open(call);
	switch (record.kind) {
		case 'new': {
			return sendRecorded(exchange, call);
		}

		case 'known': {
			await sendAnswer(exchange, record.outcome);
			return Result.ok({kind: 'completed'});
		}

		case 'pending': {
			return Result.err(mayHaveRun(409, 'may-have-run', 'This call was sent before and its outcome is not known.'));
		}

		case 'key-reused': {
			return Result.err(refuse(422, 'key-reused', 'The Idempotency-Key was used before with another request.'));
		}

		case 'unavailable': {
			return Result.err(refuse(503, 'record-unavailable', 'The call could not be recorded, so it was not sent.', 1000));
		}
	}
}
