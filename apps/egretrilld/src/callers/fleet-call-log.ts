import type {CallIdentity, CallOutcome, Logger} from '@egretrill/common';
import type {FleetCommand, FleetLog} from '@egretrill/hosts';
import {CallLog, type LedgerAnswer} from '@egretrill/services';

function getAttemptFields({customer, idempotencyKey, host, attempt}: CallIdentity) {
	return {
		customer, key: idempotencyKey, host, attempt,
	};
}

/** Writes records of non-idempotent calls to the fleet's replicated log. */
export class FleetCallLog extends CallLog {
	constructor(private readonly log: FleetLog, private readonly logger: Logger) {
		super();
	}

	override async record(call: CallIdentity): Promise<LedgerAnswer> {
		return this.propose({
			kind: 'record', fingerprint: call.fingerprint, elapsedMs: 0, ...getAttemptFields(call),
		});
	}

	override async recordOutcome(call: CallIdentity, outcome: CallOutcome): Promise<LedgerAnswer> {
		return this.propose({
			kind: 'outcome', outcome: {...outcome, headers: {...outcome.headers}}, elapsedMs: 0, ...getAttemptFields(call),
		});
	}

	override async release(call: CallIdentity): Promise<LedgerAnswer> {
		return this.propose({kind: 'release', ...getAttemptFields(call)});
	}

	private async propose(command: FleetCommand): Promise<LedgerAnswer> {
		const outcome = await this.log.propose(command);
		if (outcome.kind !== 'committed') {
			this.logger.warn({command: command.kind, outcome: outcome.kind, reason: outcome.reason}, 'A record of a call was not confirmed.');
			return {kind: outcome.kind};
		}

		const {result} = outcome;
		switch (result.kind) {
			case 'new':
			case 'pending':
			case 'key-reused':
			case 'recorded':
			case 'released':
			case 'no-record':
			case 'known': {
				return result;
			}

			default: {
				return {kind: 'unknown'};
			}
		}
	}
}
