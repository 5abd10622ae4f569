import {
	MAX_DELAYED_CALLS, MAX_SKIPPED_CALLS, MIN_CALL_INTERVAL_MS, SEQUENCE_PROOF_MS, SEQUENCE_SILENCE_MS,
} from './constants.js';

/** The last of the registrations of one lifetime that follow each other. */
export type RunEnd = {
	readonly sequence: number;
	/** Largest growth of the sequence from one of them to the next; unknown after the first. */
	readonly step: number | undefined;
	readonly lastMs: number;
};

/** Registrations that do not count yet. */
export type SequenceRun = RunEnd & {readonly sinceMs: number};

/** Whether a registration counts, with the step of its run, or else the run of registrations that may count later. */
export type SequenceVerdict = {readonly isNext: true; readonly step: number | undefined} | {readonly isNext: false; readonly rival: SequenceRun | undefined};

/** Whether the sequence has grown no further than by the calls of the time between, of which some may be delayed. Nothing is known of the growth before the second registration. */
function continuesRun(sequence: number, receivedMs: number, {sequence: last, step = Infinity, lastMs}: RunEnd): boolean {
	const missedCalls = Math.max(0, receivedMs - lastMs) / MIN_CALL_INTERVAL_MS;
	return sequence > last && sequence - last <= (MAX_SKIPPED_CALLS + missedCalls) * step;
}

function getStep(sequence: number, run: RunEnd): number {
	return Math.max(run.step ?? 1, sequence - run.sequence);
}

function extendRival(sequence: number, receivedMs: number, rival: SequenceRun | undefined): SequenceRun {
	return rival && continuesRun(sequence, receivedMs, rival)
		? {
			sequence, step: getStep(sequence, rival), sinceMs: rival.sinceMs, lastMs: receivedMs,
		}
		: {
			sequence, step: undefined, sinceMs: receivedMs, lastMs: receivedMs,
		};
}

/**
 * Decides whether a registration follows those that count. One whose sequence is out of line, since another writer used the id, is set aside; such
 * registrations count once they have gone on for a while and the other ones have not. Delayed ones never do.
 */
export function judgeSequence(sequence: number, receivedMs: number, counting: RunEnd, rival: SequenceRun | undefined): SequenceVerdict {
	if (continuesRun(sequence, receivedMs, counting)) {
		return {isNext: true, step: getStep(sequence, counting)};
	}

	const isDelayed = sequence <= counting.sequence && counting.sequence - sequence <= MAX_DELAYED_CALLS;
	const isRepeated = rival !== undefined && sequence <= rival.sequence && rival.sequence - sequence <= MAX_DELAYED_CALLS;
	if (isDelayed || isRepeated) {
		return {isNext: false, rival};
	}

	const extended = extendRival(sequence, receivedMs, rival);
	const isProven = extended.lastMs - extended.sinceMs >= SEQUENCE_PROOF_MS && receivedMs - counting.lastMs >= SEQUENCE_SILENCE_MS;
	return isProven ? {isNext: true, step: extended.step} : {isNext: false, rival: extended};
}
