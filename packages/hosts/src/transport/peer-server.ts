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

/** A running server for the calls of other hosts. */
export type PeerServer = {
	readonly port: number;
	readonly stop: () => Promise<void>;
};

const sessionDefinition: grpc.MethodDefinition<Uint8Array, AnswerFrame> = {
	path: SESSION_PATH,
	requestStream: true,
	responseStream: true,
	requestSerialize: bytes => Buffer.from(bytes),
	// Frames are decoded by the session: a failure here while an answer is written can leave the caller without an end.
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

/** Keeps a call among the running ones until it is answered. */
async function trackCall(runningCalls: Set<Promise<void>>, call: Promise<void>): Promise<void> {
	runningCalls.add(call);
	await call;
	runningCalls.delete(call);
}

/** Answers the calls of one host until its session ends; a slow call does not hold up the others. */
async function serveSession(session: Session, handlers: ReadonlyMap<string, MethodHandler>, {credentials: {fleet}, logger}: PeerServerOptions): Promise<void> {
	const cert = session.getAuthContext()?.sslPeerCertificate;
	if (fleet !== undefined && !(cert && isFleetHost(cert, fleet))) {
		logger.warn({peer: session.getPeer(), names: cert?.subjectaltname}, 'Refused a peer of another fleet.');
		session.emit('error', {code: grpc.status.PERMISSION_DENIED, details: 'The certificate does not belong to this fleet.'});
		return;
	}

	// The caller sends nothing before it has seen that the session is accepted.
	session.sendMetadata(new grpc.Metadata());
	try {
		const running = new Set<Promise<void>>();
		// Destroyed by its iterator, a session whose caller has ended would send neither the last answers nor its status.
		for await (const bytes of session.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			const frame = callFrameCodec.decode(bytes);
			void trackCall(running, answerCall(session, frame, handlers.get(frame[1]), logger));
		}

		await Promise.all(running);
		session.end();
	} catch (err: unknown) {
		if (err instanceof DecodeError) {
			session.emit('error', {code: grpc.status.INVALID_ARGUMENT, details: err.message});
		}

		logger.debug({err, peer: session.getPeer()}, 'A peer session ended.');
	}
}

/** Starts the gRPC server that other hosts call. */
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
			// Sessions of other hosts last as long as those run, so a graceful stop would never end.
			server.forceShutdown();
		},
	};
}
