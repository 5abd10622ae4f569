import {
	type TargetSlot, type SlotResult, type SlotRequirements, SlotSource,
} from '@egretrill/callers';
import type {Clock} from '@egretrill/common';
import type {TargetTable} from '@egretrill/engines';
import {WANT_GAP_MS, WANT_REPEAT_MS} from './constants.js';

/** Places at the targets of the book; adapters that are missing are asked for. Missing models are not: the leader loads them by what the polls tell of waiting requests. */
export class BookPlaces extends SlotSource {
	/** When the leader may be asked again, by what was asked for. */
	private readonly nextAskMs = new Map<string, number>();

	constructor(private readonly opts: {readonly clock: Clock; readonly book: TargetTable; readonly ask: (service: string, model: string, adapter: string) => Promise<string | undefined>}) {
		super();
	}

	override findSlot(need: SlotRequirements): SlotResult {
		const choice = this.opts.book.choose(need);
		if (choice.kind !== 'target') {
			return choice;
		}

		const taken = this.opts.book.acquireSlot(choice.targetId, need);
		if (!taken) {
			return {kind: 'none'};
		}

		const {registration: {targetId, address, zone}, outstanding, updateOutstanding, release} = taken;
		const slot: TargetSlot = {
			targetId, address, zone, outstanding, updateOutstanding, release,
		};
		return {kind: 'slot', slot};
	}

	override requestLoad({service, model, adapter}: SlotRequirements): void {
		if (model === undefined || adapter === undefined) {
			return;
		}

		const key = JSON.stringify([service, model, adapter]);
		const nowMs = this.opts.clock.now();
		if (nowMs >= (this.nextAskMs.get(key) ?? 0)) {
			this.nextAskMs.set(key, nowMs + WANT_REPEAT_MS);
			void this.askFor(key, service, model, adapter);
		}
	}

	override getTimeUntilReadyMs({service, model}: SlotRequirements): number | undefined {
		return model === undefined ? undefined : this.opts.book.getTimeUntilReadyMs(service, model);
	}

	private async askFor(key: string, service: string, model: string, adapter: string): Promise<void> {
		const askedMs = this.opts.clock.now();
		const targetId = await this.opts.ask(service, model, adapter);
		this.nextAskMs.set(key, Math.min(this.nextAskMs.get(key) ?? 0, Math.max(this.opts.clock.now(), askedMs + WANT_GAP_MS)));
		if (targetId !== undefined) {
			this.opts.book.addAdapter(targetId, model, adapter);
		}
	}
}
