import {MAX_MESSAGE_BYTES} from '@egretrill/common';
import * as grpc from '@grpc/grpc-js';
import {Result} from 'true-myth';
import {
	PEER_CALL_DEADLINE_MS, PEER_KEEPALIVE_INTERVAL_MS, PEER_KEEPALIVE_TIMEOUT_MS, PEER_RECONNECT_MAX_MS, PEER_RECONNECT_MIN_MS,
} from '../constants.js';
import type {Method} from './method.js';

/** Why a call to another host failed; only after `unreachable` and `refused` is it certain that the other host did not act on it. */
export type PeerCallError = {
	readonly code: 'unreachable' | 'broken' | 'timeout' | 'refused' | 'failed';
	readonly message: string;
};

function toCallError(err: grpc.ServiceError): PeerCallError {
	switch (err.code) {
		case grpc.status.UNAVAILABLE: {
			// The library uses one status for connections that never opened and for those that broke during the call.
			return {code: err.details.startsWith('No connection established') ? 'unreachable' : 'broken', message: err.details};
		}

		case grpc.status.DEADLINE_EXCEEDED:
		case grpc.status.CANCELLED: {
			return {code: 'timeout', message: err.details};
		}

		case grpc.status.PERMISSION_DENIED:
		case grpc.status.UNAUTHENTICATED: {
			return {code: 'refused', message: err.details};
		}

		default: {
			return {code: 'failed', message: err.details};
		}
	}
}

/** The connection to one other host. */
export class PeerClient {
	private readonly client: grpc.Client;

	constructor(readonly address: string, credentials: grpc.ChannelCredentials, opts: grpc.ChannelOptions = {}) {
		this.client = new grpc.Client(address, credentials, {
			'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
			'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
			'grpc.keepalive_time_ms': PEER_KEEPALIVE_INTERVAL_MS,
			'grpc.keepalive_timeout_ms': PEER_KEEPALIVE_TIMEOUT_MS,
			'grpc.initial_reconnect_backoff_ms': PEER_RECONNECT_MIN_MS,
			'grpc.max_reconnect_backoff_ms': PEER_RECONNECT_MAX_MS,
			'grpc.enable_http_proxy': 0,
			...opts,
		});
	}

	/** Calls a method and resolves with its answer or the reason of the failure; it never throws. */
	async call<Req, Res>(method: Method<Req, Res>, req: Req, deadlineMs = PEER_CALL_DEADLINE_MS): Promise<Result<Res, PeerCallError>> {
		return new Promise(resolve => {
			this.client.makeUnaryRequest(method.path, method.req.encode, bytes => method.res.decode(bytes), req, {deadline: Date.now() + deadlineMs}, (err, res) => {
				if (err) {
					resolve(Result.err(toCallError(err)));
					return;
				}

				resolve(res === undefined ? Result.err({code: 'failed', message: 'The answer was empty.'}) : Result.ok(res));
			});
		});
	}

	close(): void {
		this.client.close();
	}
}
