import {Buffer} from 'node:buffer';
import {DecodeError, type Logger, MAX_MESSAGE_BYTES} from '@egretrill/common';
import * as grpc from '@grpc/grpc-js';
import {SESSION_KEEPALIVE_MS} from '../constants.js';
import type {MethodHandler} from './method.js';
import {isFleetHost, type PeerCredentials} from './peer-identity.js';
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

async function answerCall(session: Session, [id, path, body]: CallFrame, handler: MethodHandler | undefined, logger: Logger): Promise<void> {
	let answer: Uint8Array | string;
	try {
		answer = handler ? await handler.invoke(body) : `This host does not serve ${path}.`;
	} catch (err: unknown) {
		logger.debug({err, method: path}, 'A peer call failed.');
		answer = err instanceof Error ? err.message : 'The call failed.';
	}

	if (!session.cancelled && session.writable) {
		session.write([id, answer]);
	}
}

/** Adds a call to the running calls until it is answered. */
async function trackCall(runningCalls: Set<Promise<void>>, call: Promise<void>): Promise<void> {
	runningCalls.add(call);
	await call;
	runningCalls.delete(call);
}

/** Answers the calls on one session until it ends; calls run concurrently, so a slow one does not delay the others. */
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
		const runningCalls = new Set<Promise<void>>();
		// If the iterator destroyed the stream once the caller has half-closed it, the last answers and the status would not be sent.
		for await (const bytes of session.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			const frame = callFrameCodec.decode(bytes);
			void trackCall(runningCalls, answerCall(session, frame, handlers.get(frame[1]), logger));
		}

		await Promise.all(runningCalls);
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
