import {Buffer} from 'node:buffer';
import {DecodeError, type Logger, MAX_MESSAGE_BYTES} from '@egretrill/common';
import * as grpc from '@grpc/grpc-js';
import {SESSION_KEEPALIVE_MS} from '../constants.js';
import type {MethodHandler} from './method.js';
import {PacedWriter} from './paced-writer.js';
import {isFleetHost, type PeerCredentials} from './peer-identity.js';
import {RunningCalls} from './running-calls.js';
import {
	type AnswerFrame, answerFrameCodec, type CallFrame, callFrameCodec, SESSION_PATH,
} from './types.js';

export type PeerServerOptions = {
	readonly address: string;
	readonly credentials: PeerCredentials;
	readonly handlers: readonly MethodHandler[];
	readonly logger: Logger;
};

/** A running server for calls from other hosts. */
export type PeerServer = {
	readonly port: number;
	readonly stop: () => Promise<void>;
};

const sessionDefinition: grpc.MethodDefinition<Uint8Array, AnswerFrame> = {
	path: SESSION_PATH,
	requestStream: true,
	responseStream: true,
	requestSerialize: bytes => Buffer.from(bytes),
	// The session decodes the frames: if decoding failed here while an answer is written, the stream might never end for the caller.
	requestDeserialize: bytes => bytes,
	responseSerialize: answerFrameCodec.encode,
	responseDeserialize: bytes => answerFrameCodec.decode(bytes),
};

type Session = grpc.ServerDuplexStream<Uint8Array, AnswerFrame>;

/** The calls of one session and the writer of their answers. */
class SessionCalls {
	private readonly running = new RunningCalls();
	private readonly tasks = new Set<Promise<void>>();
	private readonly writer: PacedWriter<AnswerFrame>;

	constructor(private readonly session: Session, private readonly handlers: ReadonlyMap<string, MethodHandler>, private readonly logger: Logger) {
		this.writer = new PacedWriter(session);
	}

	/** Starts a call or refuses it at once; resolves when the caller has taken earlier answers. */
	async accept([id, path, body]: CallFrame): Promise<void> {
		const handler = this.handlers.get(path);
		if (!handler) {
			void this.track(this.answer(id, () => `This host does not serve ${path}.`));
		} else if (this.running.tryStart(path, body.length)) {
			void this.track(this.serve(id, handler, body));
		} else {
			void this.track(this.answer(id, () => 'Too many calls of this session are under way.'));
		}

		await this.writer.waitForRoom();
	}

	/** Resolves when all calls are answered. */
	async finish(): Promise<void> {
		await Promise.all(this.tasks);
	}

	/** Serves one call; it counts as under way until its answer is written. */
	private async serve(id: number, handler: MethodHandler, body: Uint8Array): Promise<void> {
		try {
			await this.answer(id, await handler.handle(body));
		} catch (err: unknown) {
			this.logger.debug({err, method: handler.path}, 'A peer call failed.');
			await this.answer(id, () => err instanceof Error ? err.message : 'The call failed.');
		} finally {
			this.running.end(handler.path, body.length);
		}
	}

	private async answer(id: number, encode: () => Uint8Array | string): Promise<void> {
		await this.writer.send(() => {
			if (this.session.cancelled || !this.session.writable) {
				return undefined;
			}

			const answer = encode();
			return {frame: [id, answer], bytes: answer.length};
		});
	}

	private async track(task: Promise<void>): Promise<void> {
		this.tasks.add(task);
		await task;
		this.tasks.delete(task);
	}
}

/** Answers the calls on one session until it ends; calls run concurrently, so a slow one does not delay the others, and none is read while earlier answers are not taken. */
async function serveSession(session: Session, handlers: ReadonlyMap<string, MethodHandler>, {credentials: {fleet}, logger}: PeerServerOptions): Promise<void> {
	const cert = session.getAuthContext()?.sslPeerCertificate;
	if (fleet !== undefined && !(cert && isFleetHost(cert, fleet))) {
		logger.warn({peer: session.getPeer(), names: cert?.subjectaltname}, 'Refused a peer of another fleet.');
		session.emit('error', {code: grpc.status.PERMISSION_DENIED, details: 'The certificate does not belong to this fleet.'});
		return;
	}

	// The metadata signals that the session is accepted; the caller sends nothing before it.
	session.sendMetadata(new grpc.Metadata());
	try {
		const calls = new SessionCalls(session, handlers, logger);
		// If the iterator destroyed the stream once the caller has half-closed it, the last answers and the status would not be sent.
		for await (const bytes of session.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			await calls.accept(callFrameCodec.decode(bytes));
		}

		await calls.finish();
		session.end();
	} catch (err: unknown) {
		if (err instanceof DecodeError) {
			session.emit('error', {code: grpc.status.INVALID_ARGUMENT, details: err.message});
		}

		logger.debug({err, peer: session.getPeer()}, 'A peer session ended.');
	}
}

/** Starts the gRPC server for calls from other hosts. */
export async function startPeerServer(opts: PeerServerOptions): Promise<PeerServer> {
	const server = new grpc.Server({
		'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
		'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
		'grpc.keepalive_time_ms': SESSION_KEEPALIVE_MS,
	});
	const handlers = new Map(opts.handlers.map(handler => [handler.path, handler]));
	server.addService({session: sessionDefinition}, {
		session(session: Session) {
			void serveSession(session, handlers, opts);
		},
	});
	const port = await new Promise<number>((resolve, reject) => {
		server.bindAsync(opts.address, opts.credentials.server, (err, boundPort) => {
			if (err) {
				reject(err);
				return;
			}

			resolve(boundPort);
		});
	});
	return {
		port,
		async stop() {
			// Other hosts keep their sessions open while they run, so a graceful shutdown would never complete.
			server.forceShutdown();
		},
	};
}
