import {createPrivateKey, X509Certificate} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {isIP} from 'node:net';
import type {Settings} from '@egretrill/common';
import {getHostUri, hasUri, type PeerCredentials} from '@egretrill/hosts';
import {credentials as channelCredentials, experimental, ServerCredentials} from '@grpc/grpc-js';
import {CERTIFICATE_REFRESH_MS} from '../constants.js';

type IdentityListener = Parameters<experimental.FileWatcherCertificateProvider['addIdentityCertificateListener']>[0];
type IdentityUpdate = NonNullable<Parameters<IdentityListener>[0]>;

/** Rejects settings under which hosts would exchange plaintext over a network. */
export class PlaintextError extends Error {
	override readonly name = 'PlaintextError';
}

function isLoopback(address: string): boolean {
	const host = address.slice(0, address.lastIndexOf(':'));
	return (isIP(host) === 4 && host.startsWith('127.')) || host === '[::1]';
}

function createPlaintextCredentials({plaintextLoopback, listen, peers}: Settings): PeerCredentials {
	const addresses = [listen.peers, ...peers.map(peer => peer.address)];
	if (!plaintextLoopback || !addresses.every(address => isLoopback(address))) {
		throw new PlaintextError('Without tls, plaintextLoopback must be true and all peer addresses must be on loopback.');
	}

	return {server: ServerCredentials.createInsecure(), client: channelCredentials.createInsecure()};
}

function isMatchingPair({certificate, privateKey}: IdentityUpdate): boolean {
	try {
		return new X509Certificate(certificate).checkPrivateKey(createPrivateKey(privateKey));
	} catch {
		return false;
	}
}

/** Ignores updates in which certificate and key do not match, as while only one of the two files has been replaced; serving them would make all handshakes fail until the other file follows. */
class PairedCertificateProvider extends experimental.FileWatcherCertificateProvider {
	private readonly wrappedListeners = new Map<IdentityListener, IdentityListener>();

	override addIdentityCertificateListener(listener: IdentityListener): void {
		const onUpdate: IdentityListener = update => {
			if (update && isMatchingPair(update)) {
				listener(update);
			}
		};

		this.wrappedListeners.set(listener, onUpdate);
		super.addIdentityCertificateListener(onUpdate);
	}

	override removeIdentityCertificateListener(listener: IdentityListener): void {
		super.removeIdentityCertificateListener(this.wrappedListeners.get(listener) ?? listener);
		this.wrappedListeners.delete(listener);
	}
}

/** Fails at startup if a certificate file is missing, unreadable or issued to another host. */
async function verifyOwnCertificate({fleet, host}: Settings, tls: NonNullable<Settings['tls']>): Promise<void> {
	const [cert] = await Promise.all([readFile(tls.cert), readFile(tls.ca), readFile(tls.key)]);
	const uri = getHostUri(fleet, host);
	if (!(new X509Certificate(cert).subjectAltName ?? '').split(', ').includes(`URI:${uri}`)) {
		throw new Error(`The certificate ${tls.cert} does not carry the name ${uri}.`);
	}
}

/** Creates peer credentials from the certificate files in the settings, which are re-read while the host runs; plaintext is allowed only on loopback and only when the settings enable it. */
export async function readPeerCredentials(settings: Settings): Promise<PeerCredentials> {
	const {tls, fleet} = settings;
	if (!tls) {
		return createPlaintextCredentials(settings);
	}

	await verifyOwnCertificate(settings, tls);
	const provider = new PairedCertificateProvider({
		caCertificateFile: tls.ca, certificateFile: tls.cert, privateKeyFile: tls.key, refreshIntervalMs: CERTIFICATE_REFRESH_MS,
	});
	return {
		server: experimental.createCertificateProviderServerCredentials(provider, provider, true),
		fleet,
		// Hosts are identified by the URI name in their certificates, since their addresses may change.
		client: experimental.createCertificateProviderChannelCredentials(provider, provider, {
			checkServerIdentity(hostId, cert) {
				const uri = getHostUri(fleet, hostId);
				return hasUri(cert, uri) ? undefined : new Error(`The certificate of the peer does not carry the name ${uri}.`);
			},
		}),
	};
}
