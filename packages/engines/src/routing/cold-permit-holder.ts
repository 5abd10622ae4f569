import {
	type Clock, jitter, type Random, refuse, type Verdict,
} from '@egretrill/common';
import {Result} from 'true-myth';
import {PERMIT_RENEW_MS, PERMIT_RETRY_MS, PERMIT_WRITE_MS} from './constants.js';
import type {TargetDirectory} from './target-directory.js';
import type {
	Choice, ColdReport, HeldPermit, PermitAnswer, PermitOutcome, PermitRelease, PermitRenewal, PermitRequest,
} from './types.js';

/** Sends permit messages to the owner of a zone; rejects if the owner does not answer. */
export abstract class PermitTransport {
	abstract requestPermit(zone: string, req: PermitRequest): Promise<PermitAnswer>;
	abstract releasePermit(zone: string, release: PermitRelease): Promise<void>;
	abstract renewPermits(zone: string, renewal: PermitRenewal): Promise<void>;
	abstract reportCold(zone: string, report: ColdReport): Promise<void>;
}

export type ColdPermitHolderOptions = {
	readonly hostId: string;
	readonly clock: Clock;
	readonly transport: PermitTransport;
	readonly directory: TargetDirectory;
	readonly random: Random;
};

/** Holds one host's permits for cold targets. */
export class ColdPermitHolder {
	private readonly held = new Map<string, HeldPermit>();

	constructor(private readonly opts: ColdPermitHolderOptions) {}

	/** Requests a permit from the zone owner; without an answer the cold target is not used. */
	async acquire({targetId, startId, zone}: Pick<Choice, 'targetId' | 'startId' | 'zone'>): Promise<Result<HeldPermit, Verdict>> {
		const {hostId, clock, transport, directory} = this.opts;
		const requestedAtMs = clock.now();
		const permit = {
			hostId, targetId, startId, zone, requestedAtMs,
		};
		let answer: PermitAnswer;
		try {
			answer = await transport.requestPermit(zone, {hostId, targetId, startId});
		} catch {
			return Result.err(refuse(503, 'permit-unavailable', `The owner of zone ${zone} does not answer for cold target ${targetId}.`, PERMIT_WRITE_MS));
		}

		if (answer.kind === 'denied') {
			return Result.err(refuse(503, 'cold-target', `Cold target ${targetId} takes no further request now (${answer.reason}).`, answer.retryAfterMs));
		}

		if (answer.kind === 'warm') {
			directory.recordWarmth(targetId, startId, answer.warmth);
			return Result.ok(permit);
		}

		const held: HeldPermit = {...permit, permitId: answer.permitId};
		if (!this.canWrite(held)) {
			await this.release(held, 'cancelled');
			return Result.err(refuse(503, 'cold-target', `The permit for cold target ${targetId} came too late.`, PERMIT_RETRY_MS));
		}

		this.held.set(answer.permitId, held);
		return Result.ok(held);
	}

	/** Whether the permit is still valid; must be checked immediately before the request is sent. */
	canWrite(held: HeldPermit): boolean {
		return held.permitId === undefined || this.opts.clock.now() - held.requestedAtMs < PERMIT_WRITE_MS;
	}

	/** Releases a permit. If the message does not reach the owner, the permit expires. */
	async release(held: HeldPermit, outcome: PermitOutcome): Promise<void> {
		const {hostId, targetId, startId, permitId, zone} = held;
		if (permitId === undefined) {
			return;
		}

		this.held.delete(permitId);
		await this.sendBestEffort(async transport => transport.releasePermit(zone, {
			hostId, targetId, startId, permitId, outcome,
		}));
	}

	/** Reports to the owner that a target recorded as warm responds like a cold one. */
	async reportCold(zone: string, {targetId, startId}: {targetId: string; startId: string}): Promise<void> {
		const {hostId, directory} = this.opts;
		const entry = directory.getTargets().find(target => target.entry.targetId === targetId && target.entry.startId === startId)?.entry;
		if (!entry?.warmth.warm) {
			return;
		}

		const {generation} = entry.warmth;
		directory.recordWarmth(targetId, startId, {generation: generation + 1, warm: false});
		await this.sendBestEffort(async transport => transport.reportCold(zone, {
			hostId, targetId, startId, generation,
		}));
	}

	/** Renews the held permits periodically until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.opts;
		while (!signal.aborted) {
			await clock.sleep(jitter(PERMIT_RENEW_MS, random), signal);
			await this.renew();
		}
	}

	/** Renews the held permits once, with one message per zone. */
	async renew(): Promise<void> {
		const permits = [...this.held.values()];
		const zones = new Set(permits.map(held => held.zone));
		await Promise.all([...zones].map(async zone => {
			const permitIds = permits.filter(held => held.zone === zone).map(held => held.permitId!);
			await this.sendBestEffort(async transport => transport.renewPermits(zone, {hostId: this.opts.hostId, permitIds}));
		}));
	}

	private async sendBestEffort(send: (transport: PermitTransport) => Promise<void>): Promise<void> {
		try {
			await send(this.opts.transport);
		} catch {
			// The permit expires at the owner if the message does not arrive.
		}
	}
}
