import {Buffer} from 'node:buffer';
import {DecodeError, type Logger, MAX_MESSAGE_BYTES} from '@egretrill/common';
import * as grpc from '@grpc/grpc-js';
import type {MethodHandler} from './method.js';
import {isOfFleet, type PeerCredentials} from './peer-identity.js';

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

const passThrough = {
	encode: (bytes: Uint8Array) => Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength),
	decode: (bytes: Uint8Array) => bytes,
};

function getDefinition(handler: MethodHandler): grpc.MethodDefinition<Uint8Array, Uint8Array> {
	return {
		path: handler.path,
		requestStream: false,
		responseStream: false,
		requestSerialize: passThrough.encode,
		requestDeserialize: passThrough.decode,
		responseSerialize: passThrough.encode,
		responseDeserialize: passThrough.decode,
	};
}

function toServiceError(err: unknown): Partial<grpc.StatusObject> {
	if (err instanceof DecodeError) {
		return {code: grpc.status.INVALID_ARGUMENT, details: err.message};
	}

	return {code: grpc.status.INTERNAL, details: err instanceof Error ? err.message : 'The call failed.'};
}

function createImplementation(handler: MethodHandler, opts: PeerServerOptions): grpc.handleUnaryCall<Uint8Array, Uint8Array> {
	return async (call, callback) => {
		const {fleet} = opts.credentials;
		const cert = call.getAuthContext()?.sslPeerCertificate;
		if (fleet !== undefined && !(cert && isOfFleet(cert, fleet))) {
			opts.logger.warn({peer: call.getPeer(), names: cert?.subjectaltname, method: handler.path}, 'Refused a peer of another fleet.');
			callback({code: grpc.status.PERMISSION_DENIED, details: 'The certificate does not belong to this fleet.'});
			return;
		}

		try {
			callback(null, await handler.invoke(call.request));
		} catch (err: unknown) {
			opts.logger.debug({err, method: handler.path}, 'A peer call failed.');
			callback(toServiceError(err));
		}
	};
}

/** Starts the gRPC server that other hosts call. */
export async function startPeerServer(opts: PeerServerOptions): Promise<PeerServer> {
	const server = new grpc.Server({'grpc.max_receive_message_length': MAX_MESSAGE_BYTES, 'grpc.max_send_message_length': MAX_MESSAGE_BYTES});
	const definitions = Object.fromEntries(opts.handlers.map(handler => [handler.path, getDefinition(handler)]));
	const implementations = Object.fromEntries(opts.handlers.map(handler => [handler.path, createImplementation(handler, opts)]));
	server.addService(definitions, implementations);
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
			// Long polls of other hosts would hold a graceful stop open, so their calls are ended.
			server.forceShutdown();
		},
	};
}
