import {
	type Place, type PlaceAnswer, type PlaceNeed, PlaceSource,
} from '@egretrill/callers';
import type {Clock} from '@egretrill/common';
import type {TargetBook} from '@egretrill/engines';
import {ADAPTER_REQUEST_INTERVAL_MS, ADAPTER_REQUEST_RETRY_MS} from './constants.js';

/** Places at the targets of the book; adapters that are missing are asked for. Missing models are not: the leader loads them by what the polls tell of waiting requests. */
export class TargetSlotSource extends PlaceSource {
	/** When the leader may be asked again, by what was asked for. */
	private readonly nextAskMs = new Map<string, number>();

	constructor(private readonly opts: {readonly clock: Clock; readonly book: TargetBook; readonly ask: (service: string, model: string, adapter: string) => Promise<string | undefined>}) {
		super();
	}

	override findPlace(need: PlaceNeed): PlaceAnswer {
		const choice = this.opts.book.choose(need);
		if (choice.kind !== 'target') {
			return choice;
		}

		const taken = this.opts.book.take(choice.targetId, need);
		if (!taken) {
			return {kind: 'none'};
		}

		const {registration: {targetId, address, zone}, outstanding, noteOutstanding, end} = taken;
		const place: Place = {
			targetId, address, zone, outstanding, noteOutstanding, end,
		};
		return {kind: 'place', place};
	}

	override want({service, model, adapter}: PlaceNeed): void {
		if (model === undefined || adapter === undefined) {
			return;
		}

		const key = JSON.stringify([service, model, adapter]);
		const nowMs = this.opts.clock.now();
		if (nowMs >= (this.nextAskMs.get(key) ?? 0)) {
			this.nextAskMs.set(key, nowMs + ADAPTER_REQUEST_RETRY_MS);
			void this.askFor(key, service, model, adapter);
		}
	}

	override getReadyMs({service, model}: PlaceNeed): number | undefined {
		return model === undefined ? undefined : this.opts.book.getReadyMs(service, model);
	}

	private async askFor(key: string, service: string, model: string, adapter: string): Promise<void> {
		const askedMs = this.opts.clock.now();
		const targetId = await this.opts.ask(service, model, adapter);
		this.nextAskMs.set(key, Math.min(this.nextAskMs.get(key) ?? 0, Math.max(this.opts.clock.now(), askedMs + ADAPTER_REQUEST_INTERVAL_MS)));
		if (targetId !== undefined) {
			this.opts.book.noteAdapter(targetId, model, adapter);
		}
	}
}
