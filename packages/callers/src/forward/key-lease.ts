import type {TimeMark} from '@egretrill/common';

type Confirmation = {readonly mark: TimeMark; readonly ageMs: number};

/**
 * Time for which this host may serve requests with keys, so that a withdrawn key ends also where nobody can say so. It is renewed by answers that
 * a leader with a majority stands behind, and counts from before the question, or from earlier by the age that a relaying host adds.
 */
export class KeyLease {
	private confirmation: Confirmation | undefined;

	/** `getDurationMs` returns undefined if keys are valid without a lease. */
	constructor(private readonly getDurationMs: () => number | undefined) {}

	/** Renews the lease after the answer to a question that was asked at the mark; an older confirmation does not shorten it. */
	renew(mark: TimeMark, ageMs: number): void {
		const isNewer = this.confirmation === undefined || mark.getElapsedMs() + ageMs < this.getAgeMs();
		this.confirmation = isNewer ? {mark, ageMs} : this.confirmation;
	}

	isValid(): boolean {
		const durationMs = this.getDurationMs();
		return durationMs === undefined || this.getAgeMs() < durationMs;
	}

	private getAgeMs(): number {
		return this.confirmation === undefined ? Number.POSITIVE_INFINITY : this.confirmation.mark.getElapsedMs() + this.confirmation.ageMs;
	}
}
