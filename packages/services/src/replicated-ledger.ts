import {
	AtMostOnceLedger, type CallIdentity, type OpenCallResult, type CallOutcome,
} from '@egretrill/common';

/** What the replicated log answers to a command about a call. */
export type LedgerAnswer =
	| {readonly kind: 'new' | 'pending' | 'key-reused' | 'recorded' | 'released' | 'no-record'}
	| {readonly kind: 'known'; readonly outcome: CallOutcome}
	/** Whether the command took effect is not known. */
	| {readonly kind: 'unknown'}
	/** The command certainly took no effect. */
	| {readonly kind: 'not-applied'};

/** Brings commands about calls to the replicated log. */
export abstract class CallLog {
	abstract record(call: CallIdentity): Promise<LedgerAnswer>;
	abstract recordOutcome(call: CallIdentity, outcome: CallOutcome): Promise<LedgerAnswer>;
	abstract release(call: CallIdentity): Promise<LedgerAnswer>;
}

/** Keeps the records of calls that must not run twice in the replicated log. */
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
				// The record may exist although nothing was sent; removing it lets the caller send the call again.
				void this.log.release(call);
				return {kind: 'unavailable'};
			}

			default: {
				return {kind: 'unavailable'};
			}
		}
	}

	override async finish(call: CallIdentity, outcome: CallOutcome): Promise<void> {
		// An outcome that is too large to keep leaves the record open, so a resend is told truthfully that the call may have run.
		if (outcome.body.length <= this.maxBodyBytes) {
			await this.log.recordOutcome(call, outcome);
		}
	}

	override async release(call: CallIdentity): Promise<void> {
		await this.log.release(call);
	}
}
