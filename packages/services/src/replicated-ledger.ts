import {
	AtMostOnceLedger, type CallIdentity, type OpenCallResult, type CallOutcome,
} from '@egretrill/common';

/** The answer of the replicated log to a command about a call. */
export type LedgerAnswer =
	| {readonly kind: 'new' | 'pending' | 'key-reused' | 'recorded' | 'released' | 'no-record'}
	| {readonly kind: 'known'; readonly outcome: CallOutcome}
	/** It is unknown whether the command took effect. */
	| {readonly kind: 'unknown'}
	/** It is certain that the command took no effect. */
	| {readonly kind: 'not-applied'};

/** Submits commands about calls to the replicated log. */
export abstract class CallLog {
	abstract record(call: CallIdentity): Promise<LedgerAnswer>;
	abstract recordOutcome(call: CallIdentity, outcome: CallOutcome): Promise<LedgerAnswer>;
	abstract release(call: CallIdentity): Promise<LedgerAnswer>;
}

/** Stores the records of calls that must not run twice in the replicated log. */
export class ReplicatedLedger extends AtMostOnceLedger {
	constructor(private readonly log: CallLog, private readonly maxBodyBytes: number) {
		super();
	}

	override async open(call: CallIdentity): Promise<OpenCallResult> {
		const answer = await this.log.record(call);
		switch (answer.kind) {
			case 'new':
			case 'pending':
			case 'key-reused': {
				return {kind: answer.kind};
			}

			case 'known': {
				return answer;
			}

			case 'unknown': {
				// The record may exist although nothing was sent; removing it allows the caller to resend the call.
				void this.log.release(call);
				return {kind: 'unavailable'};
			}

			default: {
				return {kind: 'unavailable'};
			}
		}
	}

	override async finish(call: CallIdentity, outcome: CallOutcome): Promise<void> {
		// The record of a call whose outcome is too large to store stays pending, so a resend is answered that the call may have run.
		if (outcome.body.length <= this.maxBodyBytes) {
			await this.log.recordOutcome(call, outcome);
		}
	}

	override async release(call: CallIdentity): Promise<void> {
		await this.log.release(call);
	}
}
