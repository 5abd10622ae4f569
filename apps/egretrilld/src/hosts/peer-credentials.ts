import {readFile} from 'node:fs/promises';
import {isIP} from 'node:net';
import type {Settings} from '@egretrill/common';
import {type ChannelCredentials, credentials as channelCredentials, ServerCredentials} from '@grpc/grpc-js';

/** Credentials for both directions of the connections between hosts. */
export type PeerCredentials = {readonly server: ServerCredentials; readonly client: ChannelCredentials};

/** Settings under which hosts would talk unprotected over a network. */
export class PlaintextError extends Error {
	override readonly name = 'PlaintextError';
}

function isLoopback(address: string): boolean {
	const host = address.slice(0, address.lastIndexOf(':'));
	return (isIP(host) === 4 && host.startsWith('127.')) || host === '[::1]';
}

/** Reads the certificates of the settings; plaintext is allowed only on loopback and only when the settings say so. */
export async function readPeerCredentials({tls, plaintextLoopback, listen, peers}: Settings): Promise<PeerCredentials> {
	if (!tls) {
		const addresses = [listen.peers, ...peers.map(peer => peer.address)];
		if (!plaintextLoopback || !addresses.every(address => isLoopback(address))) {
			throw new PlaintextError('Without tls, plaintextLoopback must be true and all peer addresses must be on loopback.');
		}

		return {server: ServerCredentials.createInsecure(), client: channelCredentials.createInsecure()};
	}

	const [ca, cert, key] = await Promise.all([readFile(tls.ca), readFile(tls.cert), readFile(tls.key)]);
	return {
		server: ServerCredentials.createSsl(ca, [{cert_chain: cert, private_key: key}], true),
		client: channelCredentials.createSsl(ca, key, cert),
	};
}
