import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {Unavailable} from '@egretrill/operators';
import {Result} from 'true-myth';
import type {z} from 'zod';
import type {AdminClient, OperationCall} from './admin-client.js';
import {MAX_SEND_ATTEMPTS, RESEND_DELAY_MS} from './constants.js';
import {decideResend} from './decide-resend.js';
import type {Output} from './output.js';
import {toCallFailure} from './reports.js';
import type {CallFailure, ChangeArgs} from './types.js';

type Change<Schema extends z.ZodType> = {
	readonly call: OperationCall & {readonly body: Readonly<Record<string, unknown>>};
	readonly schema: Schema;
};

/** Every outcome except `unavailable`, which leaves open whether the change was applied. */
type DefiniteOutcome<Schema extends z.ZodType> = Exclude<z.infer<Schema>, Unavailable>;

/** Returns the request id from the arguments, or creates one and prints it before the first send. */
export function getOrCreateRequestId(args: ChangeArgs, output: Output): string {
	if (args.requestId !== undefined) {
		return args.requestId;
	}

	const requestId = randomUUID();
	output.notice(`Request id: ${requestId}`, {requestId});
	return requestId;
}

/** Sends a change, always with the same request id, until its outcome is definite or `decideResend` ends the attempts. */
export async function sendChange<Schema extends z.ZodType>(client: AdminClient, change: Change<Schema>, requestId: string, output: Output): Promise<Result<DefiniteOutcome<Schema>, CallFailure>> {
	const call = {...change.call, body: {...change.call.body, requestId}};
	let isEarlierOutcomeUnknown = false;
	for (let attempts = 1; ; attempts++) {
		output.progress(`Waiting for the fleet (send ${attempts} of ${MAX_SEND_ATTEMPTS}) ...`);
		const answer = await client.call(call, change.schema);
		const unavailable = answer.isOk ? Unavailable.safeParse(answer.value) : undefined;
		if (answer.isOk && !unavailable?.success) {
			return Result.ok(answer.value as DefiniteOutcome<Schema>);
		}

		const lastFailure = answer.isErr ? answer.error : toCallFailure(unavailable!.data!);
		const {resend, failure} = decideResend(lastFailure, {attempts, isEarlierOutcomeUnknown, isAnswered: answer.isOk});
		if (!resend) {
			return Result.err(failure);
		}

		isEarlierOutcomeUnknown = failure.effect === 'unknown';
		output.notice(`No definite answer: ${failure.reason}; sending again.`, {resend: attempts + 1, reason: failure.reason});
		await delay(RESEND_DELAY_MS);
	}
}
