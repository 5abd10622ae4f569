import type {Verdict} from '@egretrill/common';

const MS_PER_SECOND = 1000;

/** The body of a refusal or failure of this host. */
export function createRefusalBody({run, code, reason}: Verdict): string {
	return JSON.stringify({error: {verdict: run, code, message: reason}});
}

/** The Retry-After value of a refusal, in seconds; undefined if it names no time. */
export function getRetryAfter({retryAfterMs}: Verdict): string | undefined {
	return retryAfterMs === undefined ? undefined : (retryAfterMs / MS_PER_SECOND).toFixed(3);
}
