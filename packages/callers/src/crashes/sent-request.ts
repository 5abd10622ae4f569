import type {Clock} from '@egretrill/common';
import {ANSWER_PROOF_MS} from './constants.js';

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
