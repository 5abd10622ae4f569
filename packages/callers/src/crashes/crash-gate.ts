import {
	type Clock, refuse, type Verdict,
} from '@egretrill/common';
import {
	MAX_BLOCK_RETRY_MS, MAX_RECORDS_PER_MESSAGE, MAX_VERDICT_WAIT_MS, MIN_BLOCK_RETRY_MS, PROBE_GRANT_TTL_MS,
} from './constants.js';
import type {CrashTracker} from './crash-tracker.js';
import {SentRequest} from './sent-request.js';
import type {RankedKey} from './types.js';

/** Whether a request may be sent now, has to wait for evidence, or is refused. */
type Admission = 'open' | 'wait' | 'refused';

function addToCount(counts: Map<string, number>, key: string, change: 1 | -1): void {
	const count = (counts.get(key) ?? 0) + change;
	if (count > 0) {
		counts.set(key, count);
	} else {
		counts.delete(key);
	}
}

/** Decides when this host may send requests whose keys are suspected to end their targets. */
export class CrashGate {
	/** Requests at targets without a proven answer, by key. */
	private readonly unproven = new Map<string, number>();
	/** Ends of granted probes, by key. */
	private readonly probeUntilMs = new Map<string, number>();
	/** Requests that wait for the grant of a probe, by blocked key. */
	private readonly probeWaiters = new Map<string, number>();

	constructor(private readonly clock: Clock, private readonly tracker: CrashTracker) {}

	/** Whether any key has evidence against it; without any, all requests are open. */
	hasEvidence(): boolean {
		return !this.tracker.isEmpty();
	}

	/** Whether there may be evidence against a whole request, so that its key is needed. */
	mayKnowRequest(bodyLength: number): boolean {
		return this.tracker.mayKnowRequest(bodyLength);
	}

	/** Waits until a request with these keys may be sent; resolves with a refusal if it must not be. */
	async waitForTurn(keys: readonly RankedKey[], maxWaitMs: number, signal: AbortSignal): Promise<Verdict | undefined> {
		if (this.getAdmission(keys) === 'open') {
			return undefined;
		}

		const blocked = keys.filter(({key}) => this.tracker.getVerdict(key) === 'blocked');
		if (blocked.some(({key}) => this.probeWaiters.has(key))) {
			// One request is enough to be sent as a probe.
			return this.refuseSuspected(keys);
		}

		this.addProbeWaiters(blocked, 1);
		const verdict = await this.waitForVerdict(keys, maxWaitMs, signal);
		this.addProbeWaiters(blocked, -1);
		return verdict;
	}

	/** The refusal of a request with a blocked key; undefined for any other. */
	getRefusal(keys: readonly RankedKey[]): Verdict | undefined {
		return this.hasEvidence() && this.getAdmission(keys) === 'refused' ? this.refuseSuspected(keys) : undefined;
	}

	/** Whether a request with these keys may be sent now. */
	mayStart(keys: readonly RankedKey[]): boolean {
		return this.getAdmission(keys) === 'open';
	}

	/** Registers a request that is about to be sent; undefined if it has to wait after all. */
	start(keys: readonly RankedKey[]): SentRequest | undefined {
		if (!this.mayStart(keys)) {
			return undefined;
		}

		for (const {key} of keys) {
			addToCount(this.unproven, key, 1);
			this.probeUntilMs.delete(key);
		}

		return new SentRequest(this.clock, atMs => {
			this.tracker.recordProof(keys.map(({key}) => key), atMs);
		}, () => {
			this.release(keys);
		});
	}

	/** Lets one request with a blocked key through. */
	allowProbe(key: string): void {
		this.probeUntilMs.set(key, this.clock.now() + PROBE_GRANT_TTL_MS);
		this.tracker.changed.notify();
	}

	/** Blocked keys of which a request waits here to be sent as a probe. */
	getProbeCandidates(): readonly string[] {
		return [...this.probeWaiters.keys()].slice(0, MAX_RECORDS_PER_MESSAGE);
	}

	private async waitForVerdict(keys: readonly RankedKey[], maxWaitMs: number, signal: AbortSignal): Promise<Verdict | undefined> {
		const endsMs = this.clock.now() + Math.min(maxWaitMs, MAX_VERDICT_WAIT_MS);
		for (;;) {
			const admission = this.getAdmission(keys);
			if (admission === 'open' || signal.aborted) {
				return undefined;
			}

			const remainingMs = endsMs - this.clock.now();
			if (admission === 'refused' || remainingMs <= 0) {
				return this.refuseSuspected(keys);
			}

			await this.tracker.changed.wait(this.clock, Math.min(remainingMs, this.getTimeUntilVerdictMs(keys) ?? remainingMs), signal);
		}
	}

	private addProbeWaiters(keys: readonly RankedKey[], change: 1 | -1): void {
		for (const {key} of keys) {
			addToCount(this.probeWaiters, key, change);
		}
	}

	private getAdmission(keys: readonly RankedKey[]): Admission {
		const admissions = new Set(keys.map(({key}) => this.getKeyAdmission(key)));
		return (['refused', 'wait'] as const).find(admission => admissions.has(admission)) ?? 'open';
	}

	private getKeyAdmission(key: string): Admission {
		const hasUnproven = (this.unproven.get(key) ?? 0) > 0;
		switch (this.tracker.getVerdict(key)) {
			case 'sound': {
				return 'open';
			}

			case 'suspected': {
				return hasUnproven ? 'wait' : 'open';
			}

			case 'settling': {
				return 'wait';
			}

			case 'blocked': {
				return this.getBlockedAdmission(key, hasUnproven);
			}
		}
	}

	/** A blocked key is open to one probe. While one is due, requests wait for its grant rather than being refused, so that a granted probe is sent. */
	private getBlockedAdmission(key: string, hasUnproven: boolean): Admission {
		if (!hasUnproven && (this.probeUntilMs.get(key) ?? 0) > this.clock.now()) {
			return 'open';
		}

		return this.tracker.getTimeUntilProbeMs(key) > 0 ? 'refused' : 'wait';
	}

	private refuseSuspected(keys: readonly RankedKey[]): Verdict {
		const blocked = keys.filter(({key}) => this.tracker.getVerdict(key) === 'blocked');
		for (const {key} of blocked) {
			this.tracker.recordArrival(key);
		}

		if (blocked.some(({key}) => this.tracker.isConfirmed(key))) {
			return refuse(422, 'poison-request', 'Requests with the same content ended several targets, so it is refused.');
		}

		const untilProbeMs = Math.max(0, ...blocked.map(({key}) => this.tracker.getTimeUntilProbeMs(key)));
		return refuse(503, 'suspected-content', 'Targets ended while requests with the same content waited there.', Math.min(MAX_BLOCK_RETRY_MS, Math.max(MIN_BLOCK_RETRY_MS, untilProbeMs)));
	}

	/** Shortest time until the verdict on one of the keys is due. */
	private getTimeUntilVerdictMs(keys: readonly RankedKey[]): number | undefined {
		const settling = keys.filter(({key}) => this.tracker.getVerdict(key) === 'settling');
		return settling.length === 0 ? undefined : Math.max(1, ...settling.map(({key}) => this.tracker.getTimeUntilBlockedMs(key)));
	}

	private release(keys: readonly RankedKey[]): void {
		for (const {key} of keys) {
			addToCount(this.unproven, key, -1);
		}

		if (this.hasEvidence()) {
			this.tracker.changed.notify();
		}
	}
}
