import {refuse, type TrafficCustomer, type Verdict} from '@egretrill/common';
import {KEY_RETRY_MS} from './constants.js';
import type {ForwardContext} from './forward-context.js';
import type {ForwardDependencies} from './forward-dependencies.js';

/** Name under which the returns of callers with unconfirmed keys are spaced. */
const RETRY_NAME = 'unconfirmed key';

/** Refuses a request with a key while no leader has confirmed lately which keys are valid. */
export function refuseUnconfirmedKey(customer: TrafficCustomer | undefined, {keyLease, retrySchedule}: Pick<ForwardDependencies, 'keyLease' | 'retrySchedule'>): Verdict | undefined {
	return customer === undefined || keyLease.isValid()
		? undefined
		: refuse(503, 'keys-unconfirmed', 'This host has been out of touch for too long to know which keys are valid.', retrySchedule.getRetryAfterMs(RETRY_NAME, KEY_RETRY_MS));
}

/** Refuses a request whose key has been withdrawn or cannot be confirmed, right before it is sent for the first time. */
export function refuseKeyBeforeSend({customer, deps, table, route, call, exchange}: ForwardContext): Verdict | undefined {
	if (customer === undefined || exchange.hasStarted()) {
		return undefined;
	}

	const current = deps.getTable();
	const found = current === undefined || current === table ? undefined : current.findCustomer(route, call);
	return found?.isErr ? found.error : refuseUnconfirmedKey(customer, deps);
}
