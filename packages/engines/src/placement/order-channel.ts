import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {type Announcement, type Order, runWithTimeout} from '@egretrill/common';
import got, {type Response} from 'got';
import type {SendOutcome} from './types.js';

const STATUS_OK = 200;
const STATUS_CONFLICT = 409;
const STATUS_PRECONDITION_FAILED = 412;

/** The part of an announcement that identifies and addresses the target of an order. */
export type OrderTarget = Pick<Announcement, 'targetId' | 'startId' | 'address'>;

/** Delivers orders to engines. */
export abstract class OrderChannel {
	/** Makes one attempt; `mayWrite` is called immediately before the write, and the connection is destroyed once `expiresInMs` has passed. */
	abstract send(target: OrderTarget, order: Order, mayWrite: () => boolean, signal: AbortSignal): Promise<SendOutcome>;
}

/** Delivers orders with `POST /orders`, one connection for each attempt. */
export abstract class HttpOrderChannel extends OrderChannel {
	async send(target: OrderTarget, order: Order, mayWrite: () => boolean, signal: AbortSignal): Promise<SendOutcome> {
		return runWithTimeout(order.expiresInMs, signal, async expiry => this.sendUntil(expiry, target, order, mayWrite));
	}

	/** Reads the outcome from the status of the engine's answer. */
	protected abstract toOutcome(status: number): SendOutcome;

	private async sendUntil(expiry: AbortSignal, target: OrderTarget, order: Order, mayWrite: () => boolean): Promise<SendOutcome> {
		let socket: Socket;
		try {
			socket = await openConnection(target.address, expiry);
		} catch (err: unknown) {
			return {result: 'not-sent', reason: String(err)};
		}

		// The lease may end while the connection is opened; nothing is awaited between this check and the write.
		if (expiry.aborted || !mayWrite()) {
			socket.destroy();
			return {result: 'not-sent', reason: 'The lease does not allow a write.'};
		}

		try {
			return this.toOutcome(await postForStatus(`http://${target.address}/orders`, {json: order, signal: expiry}, socket));
		} catch (err: unknown) {
			return {result: 'unknown', reason: String(err)};
		} finally {
			socket.destroy();
		}
	}
}

/** For engines that refuse orders with a stale fencing number. */
export class FencingOrderChannel extends HttpOrderChannel {
	protected toOutcome(status: number): SendOutcome {
		return status === STATUS_CONFLICT || status === STATUS_PRECONDITION_FAILED
			? {result: 'stale-fencing', reason: `The engine has seen a newer fencing number (${status}).`}
			: getOutcome(status);
	}
}

/** For engines that ignore fencing numbers, which are protected only by the expiry of orders and the successor's wait. */
export class UnfencedOrderChannel extends HttpOrderChannel {
	protected toOutcome(status: number): SendOutcome {
		return getOutcome(status);
	}
}

function getOutcome(status: number): SendOutcome {
	if (status < STATUS_OK) {
		return {result: 'unknown', reason: `The engine switched protocols with ${status}.`};
	}

	if (status < 300) {
		return {result: 'accepted', reason: `The engine answered ${status}.`};
	}

	// After a server error the engine may or may not have executed the order.
	return status >= 500
		? {result: 'unknown', reason: `The engine failed with ${status}.`}
		: {result: 'refused', reason: `The engine refused with ${status}.`};
}

/** The URL parser omits this port. */
const HTTP_PORT = 80;

/** Opens a connection, so that a check can be made between connecting and writing. */
export async function openConnection(address: string, signal: AbortSignal): Promise<Socket> {
	const {hostname, port} = new URL(`http://${address}`);
	const socket = connect({host: hostname.replaceAll(/[\[\]]/gv, ''), port: port === '' ? HTTP_PORT : Number(port)});
	// Without a listener, a reset before the first write would end the process; the write then fails on the closed socket.
	socket.on('error', () => undefined);
	try {
		await once(socket, 'connect', {signal});
	} catch (err: unknown) {
		socket.destroy();
		throw err;
	}

	return socket;
}

type StatusRequest = {
	readonly json: unknown;
	readonly headers?: Readonly<Record<string, string>>;
	readonly signal: AbortSignal;
};

/**
 * Posts a message over its own connection and resolves with the status of the answer.
 * The body adds nothing to the status, so it is not read, and the caller closes the connection. A redirect is not followed, since the right to write is valid for one engine only.
 */
export async function postForStatus(url: string, {json, headers, signal}: StatusRequest, socket: Socket): Promise<number> {
	const stream = got.stream.post(url, {
		json, headers: {...headers}, signal, createConnection: () => socket, retry: {limit: 0}, throwHttpErrors: false, followRedirect: false, decompress: false,
	});
	// An error after the head has arrived changes nothing, but without a listener it would end the process.
	stream.on('error', () => undefined);
	try {
		const [res] = await once(stream, 'response') as [Response];
		return res.statusCode;
	} finally {
		stream.destroy();
	}
}
