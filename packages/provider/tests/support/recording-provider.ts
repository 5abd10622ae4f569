import type {Clock} from '@egretrill/common';
import {
	type CallOutcome, type DutyEvent, type DutyHolder, DutyObserver, type EngineOrder, ProviderCalls, type UsageWindow,
} from '../../src/index.js';

/** Records what arrives, and answers with the next of the given outcomes, at the end with `accepted`. */
export class RecordingProvider extends ProviderCalls {
	readonly received: string[] = [];
	outcomes: CallOutcome[] = [];

	constructor(private readonly clock: Clock) {
		super();
	}

	override async reportUsage({window, counts}: UsageWindow, holder: DutyHolder, mayWrite: () => boolean): Promise<CallOutcome> {
		return this.take(`window ${window} ${JSON.stringify(counts)}`, holder, mayWrite);
	}

	override async orderEngines({service, zone, count}: EngineOrder, holder: DutyHolder, mayWrite: () => boolean): Promise<CallOutcome> {
		return this.take(`${service} ${zone} ${count}`, holder, mayWrite);
	}

	private take(content: string, {holder, fencingToken}: DutyHolder, mayWrite: () => boolean): CallOutcome {
		if (!mayWrite()) {
			return 'not-sent';
		}

		const outcome = this.outcomes.shift() ?? 'accepted';
		if (outcome !== 'not-sent') {
			this.received.push(`${(this.clock.now() / 1000).toFixed(1)} s: ${holder}/${fencingToken} ${content} ${outcome}`);
		}

		return outcome;
	}
}

/** Counts the events of the duties. */
export class CountingDutyObserver extends DutyObserver {
	events = 0;
	last: DutyEvent | undefined;

	override record(event: DutyEvent): void {
		this.events += 1;
		this.last = event;
	}
}
