import {refuse, type Verdict} from '@egretrill/common';
import {MIN_RETRY_AFTER_MS} from '../constants.js';
import type {WaitReason} from './wait-forecast.js';

/** Refusal of a request that gets no slot in time. */
export function refuseNoSlot(reason: WaitReason, retryAfterMs: number): Verdict {
	if (reason === 'paused') {
		return refuse(503, 'targets-paused', 'All targets for the request have asked for a pause.', retryAfterMs);
	}

	return reason === 'full'
		? refuse(503, 'overloaded', 'All targets for the request are busy.', retryAfterMs)
		: refuse(503, 'no-target', 'No target serves what the request needs.', retryAfterMs);
}

/** Refusal of a request that this host has no time left to place; another host can serve its caller sooner. */
export function refuseShutdown(): Verdict {
	return refuse(503, 'draining', 'This host is shutting down.', MIN_RETRY_AFTER_MS);
}

export function refuseLeft(): Verdict {
	return refuse(503, 'caller-left', 'The caller left before the request was placed.');
}
