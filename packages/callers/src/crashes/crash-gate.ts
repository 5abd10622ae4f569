import {
	type Clock, refuse, type Verdict,
} from '@egretrill/common';
import {
	ANSWER_PROOF_MS, MAX_VERDICT_WAIT_MS, PROBE_GRANT_TTL_MS, RECENT_ARRIVAL_MS, MAX_RECORDS_PER_MESSAGE,
} from './constants.js';
import type {CrashTracker} from './crash-tracker.js';
import type {RankedKey} from './types.js';

/** Whether a request may be sent now, has to wait for evidence, or is refused. */
type Admission = 'open' | 'wait' | 'refused';

/** A request that has been sent to a target and has no proven answer yet. */
export class SentRequest {
	private firstEventMs: number | undefined;
	private isReleased = false;

	constructor(private readonly clock: Clock, private readonly onProof: (atMs: number) => void, private readonly onRelease: () => void) {}

	/** Whether the target has survived the request, or the request has ended without evidence. */
	isSettled(): boolean {
		return this.isReleased;
	}

	/** Records a part of the answer. */
	recordEvent(): void {
		const nowMs = this.clock.now();
		this.firstEventMs ??= nowMs;
		if (nowMs - this.firstEventMs >= ANSWER_PROOF_MS) {
			this.complete();
		}
	}

	/** Records that the target has survived the request. */
	complete(): void {
		if (!this.isReleased) {
			this.onProof(this.firstEventMs ?? this.clock.now());
			this.release();
		}
	}

	/** Ends the request without a proven answer. */
	release(): void {
		if (!this.isReleased) {
			this.isReleased = true;
			this.onRelease();
		}
	}
}

/** Decides when this host may send requests whose keys are suspected to end their targets. */
export class CrashGate {
	/** Requests at targets without a proven answer, by key. */
	private readonly unproven = new Map<string, number>();
	/** Ends of granted probes, by key. */
	private readonly probeUntilMs = new Map<string, number>();
	/** Last arrivals of refused requests, by key. */
	private readonly refusedMs = new Map<string, number>();

	constructor(private readonly clock: Clock, private readonly tracker: CrashTracker) {}

	/** Whether any key has evidence against it; without any, all requests are open. */
	hasEvidence(): boolean {
		return !this.tracker.isEmpty();
	}

	/** Waits until a request with these keys may be sent; resolves with a refusal if it must not be. */
	async waitForTurn(keys: readonly RankedKey[], maxWaitMs: number, signal: AbortSignal): Promise<Verdict | undefined> {
		const endsMs = this.clock.now() + Math.min(maxWaitMs, MAX_VERDICT_WAIT_MS);
		for (;;) {
			const admission = this.getAdmission(keys);
			if (admission === 'open' || signal.aborted) {
				return undefined;
			}

			if (admission === 'refused') {
				return this.refuseBlocked(keys);
			}

			const remainingMs = endsMs - this.clock.now();
			if (remainingMs <= 0) {
				return refuse(503, 'suspected-part', 'Targets ended while they served requests with the same content; whether it is the cause is not known yet.', MAX_VERDICT_WAIT_MS);
			}

			await this.tracker.changed.wait(this.clock, Math.min(remainingMs, this.getTimeUntilVerdictMs(keys) ?? remainingMs), signal);
		}
	}

	/** The refusal of a request with a blocked key; undefined for any other. */
	getRefusal(keys: readonly RankedKey[]): Verdict | undefined {
		return this.hasEvidence() && this.getAdmission(keys) === 'refused' ? this.refuseBlocked(keys) : undefined;
	}

	/** Registers a request that is about to be sent; undefined if it has to wait after all. */
	start(keys: readonly RankedKey[]): SentRequest | undefined {
		if (this.getAdmission(keys) !== 'open') {
			return undefined;
		}

		for (const {key} of keys) {
			this.unproven.set(key, (this.unproven.get(key) ?? 0) + 1);
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

	/** Blocked keys of which this host has just refused a request, so that it can send a probe. */
	getProbeCandidates(): readonly string[] {
		const oldestMs = this.clock.now() - RECENT_ARRIVAL_MS;
		for (const [key, refusedMs] of this.refusedMs) {
			if (refusedMs < oldestMs) {
				this.refusedMs.delete(key);
			}
		}

		return [...this.refusedMs.keys()].slice(0, MAX_RECORDS_PER_MESSAGE);
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
				return !hasUnproven && (this.probeUntilMs.get(key) ?? 0) > this.clock.now() ? 'open' : 'refused';
			}
		}
	}

	private refuseBlocked(keys: readonly RankedKey[]): Verdict {
		for (const {key} of keys) {
			if (this.tracker.getVerdict(key) === 'blocked') {
				this.refusedMs.set(key, this.clock.now());
				this.tracker.recordArrival(key);
			}
		}

		return refuse(422, 'crashes-targets', 'Requests with the same content ended several targets, so it is refused.');
	}

	/** Shortest time until the verdict on one of the keys is due. */
	private getTimeUntilVerdictMs(keys: readonly RankedKey[]): number | undefined {
		const settling = keys.filter(({key}) => this.tracker.getVerdict(key) === 'settling');
		return settling.length === 0 ? undefined : Math.max(1, ...settling.map(({key}) => this.tracker.getTimeUntilBlockedMs(key)));
	}

	private release(keys: readonly RankedKey[]): void {
		for (const {key} of keys) {
			const count = (this.unproven.get(key) ?? 0) - 1;
			if (count > 0) {
				this.unproven.set(key, count);
			} else {
				this.unproven.delete(key);
			}
		}

		if (this.hasEvidence()) {
			this.tracker.changed.notify();
		}
	}
}
