import {
	type SlotRequirements, type SlotResult, SlotSource, type TargetSlot,
} from '@egretrill/callers';
import type {Clock} from '@egretrill/common';
import type {ChoiceBasis, TargetTable} from '@egretrill/engines';
import {ADAPTER_REQUEST_INTERVAL_MS, ADAPTER_REQUEST_RETRY_MS} from './constants.js';

/** Allocates slots at the targets of the target table and requests missing adapters, and sends to cold targets, from the leader. Missing models are not requested: the leader loads them by the counts of waiting requests in the polls. */
export class TargetSlotSource extends SlotSource {
	/** Earliest time of the next request to the leader, by service, model and adapter. */
	private readonly nextRequestMs = new Map<string, number>();

	constructor(private readonly opts: {
		readonly clock: Clock;
		readonly targets: TargetTable;
		/** Requests a send to a cold target for which this host has no turn. */
		readonly requestColdSend: (service: string, targetId: string) => void;
		/** Called with what a choice by expected completion was decided by. */
		readonly onChoice?: (basis: ChoiceBasis) => void;
		readonly requestAdapter: (service: string, model: string, adapter: string) => Promise<string | undefined>;
	}) {
		super();
	}

	override findSlot(need: SlotRequirements): SlotResult {
		const choice = this.opts.targets.choose(need);
		if ((choice.kind === 'target' || choice.kind === 'full') && choice.coldTargetId !== undefined) {
			this.opts.requestColdSend(need.service, choice.coldTargetId);
		}

		if (choice.kind !== 'target') {
			return {kind: choice.kind, ...(choice.kind === 'full' && choice.coldTargetId !== undefined && {isCold: true})};
		}

		if (choice.basis) {
			this.opts.onChoice?.(choice.basis);
		}

		const acquired = this.opts.targets.acquireSlot(choice.targetId, need);
		if (!acquired) {
			return {kind: 'none'};
		}

		const {registration: {targetId, address, zone, startedAtMs}, ...rest} = acquired;
		const slot: TargetSlot = {
			targetId, address, zone, startedAtMs, ...rest,
		};
		return {kind: 'slot', slot};
	}

	override requestLoad({service, model, adapter}: SlotRequirements): void {
		if (model === undefined || adapter === undefined) {
			return;
		}

		const key = JSON.stringify([service, model, adapter]);
		const nowMs = this.opts.clock.now();
		if (nowMs >= (this.nextRequestMs.get(key) ?? 0)) {
			this.nextRequestMs.set(key, nowMs + ADAPTER_REQUEST_RETRY_MS);
			void this.requestAdapter(key, service, model, adapter);
		}
	}

	override getPauseLeftMs(need: SlotRequirements): number | undefined {
		return this.opts.targets.getPauseLeftMs(need);
	}

	override getTimeUntilReadyMs({service, model}: SlotRequirements): number | undefined {
		return model === undefined ? undefined : this.opts.targets.getTimeUntilReadyMs(service, model);
	}

	private async requestAdapter(key: string, service: string, model: string, adapter: string): Promise<void> {
		const requestedMs = this.opts.clock.now();
		const targetId = await this.opts.requestAdapter(service, model, adapter);
		this.nextRequestMs.set(key, Math.min(this.nextRequestMs.get(key) ?? 0, Math.max(this.opts.clock.now(), requestedMs + ADAPTER_REQUEST_INTERVAL_MS)));
		if (targetId !== undefined) {
			this.opts.targets.addAdapter(targetId, model, adapter);
		}
	}
}
