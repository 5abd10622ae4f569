import {Agent} from 'node:http';
import type {Announcement, Order} from '@egretrill/common';
import got, {type RequestError} from 'got';
import type {SendOutcome} from './types.js';

const STATUS_CONFLICT = 409;
const STATUS_PRECONDITION_FAILED = 412;

/** The part of an announcement that says where an order goes. */
export type OrderTarget = Pick<Announcement, 'targetId' | 'startId' | 'address'>;

/** Error codes after which nothing of the request has left this host. */
const CONNECT_FAILURES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Thrown before the write when the sender may no longer issue orders. */
class WriteForbiddenError extends Error {
	override readonly name = 'WriteForbiddenError';
}

/** Delivers orders to engines. */
export abstract class OrderChannel {
	/** Makes one attempt; `mayWrite` is asked immediately before the write, and nothing is in flight from here once `expiresInMs` has passed. */
	abstract send(target: OrderTarget, order: Order, mayWrite: () => boolean, signal: AbortSignal): Promise<SendOutcome>;
}

/** Delivers orders with `POST /orders`, one connection for each attempt. */
export abstract class HttpOrderChannel extends OrderChannel {
	async send(target: OrderTarget, order: Order, mayWrite: () => boolean, signal: AbortSignal): Promise<SendOutcome> {
		try {
			const res = await got.post(`http://${target.address}/orders`, {
				json: order,
				signal,
				// A kept connection would outlive the order's expiry.
				agent: {http: new Agent({keepAlive: false})},
				retry: {limit: 0},
				throwHttpErrors: false,
				timeout: {request: order.expiresInMs},
				hooks: {
					beforeRequest: [() => {
						if (!mayWrite()) {
							throw new WriteForbiddenError('The lease does not allow a write.');
						}
					}],
				},
			});
			return this.restoreOutcome(res.statusCode);
		} catch (err: unknown) {
			return getFailure(err as RequestError);
		}
	}

	/** Reads the outcome from the status of the engine's answer. */
	protected abstract restoreOutcome(status: number): SendOutcome;
}

/** For engines that refuse orders with a stale fencing number. */
export class FencingOrderChannel extends HttpOrderChannel {
	protected restoreOutcome(status: number): SendOutcome {
		return status === STATUS_CONFLICT || status === STATUS_PRECONDITION_FAILED
			? {result: 'stale-fencing', reason: `The engine has seen a newer fencing number (${status}).`}
			: getOutcome(status);
	}
}

/** For engines that ignore fencing numbers, which only the expiry and the successor's wait protect. */
export class UnfencedOrderChannel extends HttpOrderChannel {
	protected restoreOutcome(status: number): SendOutcome {
		return getOutcome(status);
	}
}

function getOutcome(status: number): SendOutcome {
	if (status < 300) {
		return {result: 'accepted', reason: `The engine answered ${status}.`};
	}

	// A server error says nothing about how far the engine got.
	return status >= 500
		? {result: 'unknown', reason: `The engine failed with ${status}.`}
		: {result: 'refused', reason: `The engine refused with ${status}.`};
}

function getFailure(err: RequestError): SendOutcome {
	const isUnwritten = err instanceof WriteForbiddenError || err.cause instanceof WriteForbiddenError || CONNECT_FAILURES.has(err.code);
	return {result: isUnwritten ? 'not-sent' : 'unknown', reason: err.message};
}
