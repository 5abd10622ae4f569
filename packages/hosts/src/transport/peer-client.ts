import {type Clock, DecodeError, MAX_MESSAGE_BYTES} from '@egretrill/common';
import * as grpc from '@grpc/grpc-js';
import {Result} from 'true-myth';
import {
	PEER_CALL_DEADLINE_MS, PEER_RECONNECT_MAX_MS, PEER_RECONNECT_MIN_MS, PEER_SILENT_MS, PEER_UNRESPONSIVE_MS,
} from '../constants.js';
import type {ConnectionObserver, ReplacedConnection} from './connection-observer.js';
import type {Method} from './method.js';
import {type PeerCallError, PeerSession} from './peer-session.js';
import {SilenceRecord} from './silence-record.js';

export type PeerClientOptions = {
	/** Shared by all connections of a host. */
	readonly silence?: SilenceRecord;
	readonly observer?: ConnectionObserver;
	readonly channelOptions?: grpc.ChannelOptions;
};

/** Connection to one other host. */
export class PeerClient {
	private client: grpc.Client | undefined;
	private session: PeerSession | undefined;

	private readonly silence: SilenceRecord;

	constructor(readonly address: string, private readonly credentials: grpc.ChannelCredentials, private readonly clock: Clock, private readonly opts: PeerClientOptions = {}) {
		this.silence = opts.silence ?? new SilenceRecord();
	}

	/** Calls a method and resolves with its answer or the reason of the failure; a failed call does not throw. */
	async call<Req, Res>(method: Method<Req, Res>, req: Req, deadlineMs = PEER_CALL_DEADLINE_MS): Promise<Result<Res, PeerCallError>> {
		const body = encodeRequest(method, req);
		if (body.isErr) {
			return Result.err(body.error);
		}

		const opened = this.openSession();
		if (opened.isErr) {
			return Result.err(opened.error);
		}

		const session = opened.value;
		const answer = await session.call(method.path, body.value, deadlineMs);
		if (answer.isErr && session === this.session) {
			this.checkSilence(session);
		}

		return answer.andThen(bytes => decodeAnswer(method, bytes));
	}

	close(): void {
		this.session?.end();
		this.client?.close();
		this.session = undefined;
		this.client = undefined;
	}

	/** After a failed call: a connection can stay silent indefinitely while new ones work, so it is replaced. */
	private checkSilence(session: PeerSession): void {
		const sinceMs = session.getUnresponsiveSinceMs() ?? Number.POSITIVE_INFINITY;
		const silentMs = this.clock.now() - sinceMs;
		// One that never opened says nothing of the others: its host may be down.
		if (session.wasOpened && silentMs >= PEER_SILENT_MS) {
			this.silence.record(sinceMs, session);
		}

		if (silentMs >= PEER_UNRESPONSIVE_MS) {
			this.replace(session, 'unresponsive');
		}
	}

	/** Closes a connection, so that the next call opens another one. */
	private replace(session: PeerSession, reason: ReplacedConnection['reason']): void {
		if (session.wasOpened && !session.isClosed) {
			this.opts.observer?.recordReplaced({address: this.address, reason, unheardMs: session.getUnheardMs()});
		}

		this.close();
	}

	/** Returns the current session or a new one; the library throws for some addresses that it cannot parse. */
	private openSession(): Result<PeerSession, PeerCallError> {
		try {
			return Result.ok(this.getSession());
		} catch (err: unknown) {
			return Result.err({code: 'unreachable', message: err instanceof Error ? err.message : 'The address cannot be used.'});
		}
	}

	private getSession(): PeerSession {
		if (this.session?.isIdleSince(this.silence.getSinceMs())) {
			this.replace(this.session, 'idle');
		}

		if (!this.session || this.session.isClosed) {
			this.client ??= this.createClient();
			this.session = new PeerSession(this.client, this.clock);
		}

		return this.session;
	}

	private createClient(): grpc.Client {
		return new grpc.Client(this.address, this.credentials, {
			'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
			'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
			'grpc.initial_reconnect_backoff_ms': PEER_RECONNECT_MIN_MS,
			'grpc.max_reconnect_backoff_ms': PEER_RECONNECT_MAX_MS,
			'grpc.enable_http_proxy': 0,
			// With a shared subchannel pool, a replacement client would reuse the connection of its predecessor.
			'grpc.use_local_subchannel_pool': 1,
			...this.opts.channelOptions,
		});
	}
}

/** Encodes a request; a value nested too deeply cannot be encoded, and nothing is sent then. */
function encodeRequest<Req, Res>(method: Method<Req, Res>, req: Req): Result<Uint8Array, PeerCallError> {
	try {
		return Result.ok(method.req.encode(req));
	} catch (err: unknown) {
		return Result.err({code: 'refused', message: err instanceof Error ? err.message : 'The request cannot be encoded.'});
	}
}

function decodeAnswer<Req, Res>(method: Method<Req, Res>, bytes: Uint8Array): Result<Res, PeerCallError> {
	try {
		return Result.ok(method.res.decode(bytes));
	} catch (err: unknown) {
		if (!(err instanceof DecodeError)) {
			throw err;
		}

		return Result.err({code: 'failed', message: err.message});
	}
}
