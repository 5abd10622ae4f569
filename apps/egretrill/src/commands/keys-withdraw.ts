import {setTimeout as delay} from 'node:timers/promises';
import {ApiKey} from '@egretrill/common';
import {operations, WithdrawalOutcome, type Unavailable} from '@egretrill/operators';
import {z} from 'zod';
import type {AdminClient} from '../admin-client.js';
import {changeOptions, type CommandHelp} from '../command.js';
import {ConnectedCommand} from '../connected-command.js';
import {EXIT_UNKNOWN, WITHDRAWAL_POLL_MS, WITHDRAWAL_WAIT_MS} from '../constants.js';
import type {Output} from '../output.js';
import {
	reportDone, reportChangeFailure, reportRefused,
} from '../reports.js';
import {getOrCreateRequestId, sendChange} from '../send-change.js';
import {ChangeArgs, type Report} from '../types.js';

const KeysWithdrawArgs = z.object({...ChangeArgs.shape, id: ApiKey.shape.id, wait: z.boolean().default(false)});
type Pending = Extract<WithdrawalOutcome, {result: 'pending'}>;

function formatPending({key, version, waitingFor}: Pending): string {
	return `Pending: key ${key} is withdrawn in version ${version}; waiting for ${waitingFor.length > 0 ? waitingFor.join(', ') : 'the key lease to end'}.`;
}

function reportOutcome(outcome: Exclude<WithdrawalOutcome, Unavailable>): Report {
	switch (outcome.result) {
		case 'pending': {
			return reportDone(formatPending(outcome), outcome);
		}

		case 'in-force': {
			return reportDone(`In force: no host honours key ${outcome.key} any more (version ${outcome.version}).`, outcome);
		}

		case 'not-withdrawn': {
			return reportRefused(`Key ${outcome.key} is not withdrawn.`, outcome);
		}

		case 'not-found': {
			return reportRefused(outcome.reason, outcome);
		}
	}
}

/** Polls until no host can honour the key; a poll only reads, so a failed one is repeated. */
async function waitUntilInForce(client: AdminClient, pending: Pending, output: Output): Promise<Report> {
	output.notice(formatPending(pending), pending);
	const deadlineMs = performance.now() + WITHDRAWAL_WAIT_MS;
	let lastPending = pending;
	while (performance.now() < deadlineMs) {
		await delay(WITHDRAWAL_POLL_MS);
		const answer = await client.call({operation: operations.getWithdrawal, params: {id: pending.key}}, WithdrawalOutcome);
		if (answer.isErr || answer.value.result === 'unavailable') {
			continue;
		}

		if (answer.value.result !== 'pending') {
			return reportOutcome(answer.value);
		}

		lastPending = answer.value;
		output.progress(formatPending(lastPending));
	}

	return {exitCode: EXIT_UNKNOWN, text: `Not confirmed within ${WITHDRAWAL_WAIT_MS} ms. ${formatPending(lastPending)}`, data: lastPending};
}

/** Withdraws a caller's key. */
export class KeysWithdrawCommand extends ConnectedCommand<typeof KeysWithdrawArgs> {
	readonly help: CommandHelp = {
		usage: 'withdraw <id>',
		summary: 'Withdraws a key and tells when no host honours it any more',
		examples: [['keys withdraw rabat-water-1 --wait', 'Return once the withdrawal is in force everywhere']],
	};

	readonly schema = KeysWithdrawArgs;
	override readonly positionals = {id: {type: 'string', describe: 'Id of the key'}} as const;
	override readonly options = {...changeOptions, wait: {type: 'boolean', describe: 'Wait until the withdrawal is in force everywhere'}} as const;

	protected override async runOn(client: AdminClient, args: z.infer<typeof KeysWithdrawArgs>, output: Output): Promise<Report> {
		const call = {operation: operations.withdrawKey, params: {id: args.id}, body: {}};
		const requestId = getOrCreateRequestId(args, output);
		const answer = await sendChange(client, {call, schema: WithdrawalOutcome}, requestId, output);
		if (answer.isErr) {
			return reportChangeFailure(answer.error, requestId);
		}

		return args.wait && answer.value.result === 'pending' ? waitUntilInForce(client, answer.value, output) : reportOutcome(answer.value);
	}
}
