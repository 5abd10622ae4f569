import {readFile} from 'node:fs/promises';
import {isIP} from 'node:net';
import type {Settings} from '@egretrill/common';
import {credentials as channelCredentials, ServerCredentials} from '@grpc/grpc-js';

function isLoopback(address: string): boolean {
	const host = address.slice(0, address.lastIndexOf(':'));
	return (isIP(host) === 4 && host.startsWith('127.')) || host === '[::1]';
}

/** Reads the certificates of the settings; throws when hosts would talk unprotected over a network. */
export async function readPeerCredentials({tls, plaintextLoopback, listen, peers}: Settings) {
	if (!tls) {
		const addresses = [listen.peers, ...peers.map(peer => peer.address)];
		if (!plaintextLoopback || !addresses.every(address => isLoopback(address))) {
			throw new Error('Without tls, plaintextLoopback must be true and all peer addresses must be on loopback.');
		}

		return {server: ServerCredentials.createInsecure(), client: channelCredentials.createInsecure()};
	}

	const [ca, cert, key] = await Promise.all([readFile(tls.ca), readFile(tls.cert), readFile(tls.key)]);
	return {
		server: ServerCredentials.createSsl(ca, [{cert_chain: cert, private_key: key}], true),
		client: channelCredentials.createSsl(ca, key, cert),
	};
}
