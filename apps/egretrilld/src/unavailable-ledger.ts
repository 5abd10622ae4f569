import {AtMostOnceLedger, type CallOpening} from '@egretrill/common';

/** Refuses each call that would need a record, for fleets without a replicated log. */
export class UnavailableLedger extends AtMostOnceLedger {
	override async open(): Promise<CallOpening> {
		return {kind: 'unavailable'};
	}

	override async finish(): Promise<void> {
		throw new Error('A call was finished that was never opened.');
	}

	override async release(): Promise<void> {
		throw new Error('A call was released that was never opened.');
	}
}
