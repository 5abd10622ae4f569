import {
	CALL_INTERVAL_MS, MAX_DELAYED_CALLS, MAX_SKIPPED_CALLS, SEQUENCE_PROOF_MS,
} from './constants.js';

/** Registrations of one lifetime whose sequences grow as those of one process do. */
export type SequenceRun = {
	readonly sequence: number;
	/** When the first and the last registration of the run were received. */
	readonly sinceMs: number;
	readonly lastMs: number;
};

type RunEnd = Pick<SequenceRun, 'sequence' | 'lastMs'>;

/** Whether a registration counts, or else the run of registrations that may count later. */
export type SequenceVerdict = {readonly isNext: true} | {readonly isNext: false; readonly rival: SequenceRun | undefined};

/** Whether the sequence has grown no further than by the calls of the time between, of which some may be delayed. */
function continuesRun(sequence: number, receivedMs: number, run: RunEnd): boolean {
	const missedCalls = Math.max(0, receivedMs - run.lastMs) / CALL_INTERVAL_MS;
	return sequence > run.sequence && sequence - run.sequence <= MAX_SKIPPED_CALLS + missedCalls;
}

function extendRival(sequence: number, receivedMs: number, rival: SequenceRun | undefined): SequenceRun {
	const sinceMs = rival && continuesRun(sequence, receivedMs, rival) ? rival.sinceMs : receivedMs;
	return {sequence, sinceMs, lastMs: receivedMs};
}

/**
 * Decides whether a registration follows those that count. One whose sequence is out of line, since another writer used the id, is set aside; such
 * registrations count once they have gone on for a while and the other ones have not. Delayed ones never do.
 */
export function judgeSequence(sequence: number, receivedMs: number, counting: RunEnd, rival: SequenceRun | undefined): SequenceVerdict {
	if (continuesRun(sequence, receivedMs, counting)) {
		return {isNext: true};
	}

	const isDelayed = sequence <= counting.sequence && counting.sequence - sequence <= MAX_DELAYED_CALLS;
	const isRepeated = rival !== undefined && sequence <= rival.sequence && rival.sequence - sequence <= MAX_DELAYED_CALLS;
	if (isDelayed || isRepeated) {
		return {isNext: false, rival};
	}

	const extended = extendRival(sequence, receivedMs, rival);
	const isProven = extended.lastMs - extended.sinceMs >= SEQUENCE_PROOF_MS && receivedMs - counting.lastMs >= SEQUENCE_PROOF_MS;
	return isProven ? {isNext: true} : {isNext: false, rival: extended};
}
