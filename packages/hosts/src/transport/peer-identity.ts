import type {PeerCertificate} from 'node:tls';
import type {ChannelCredentials, ServerCredentials} from '@grpc/grpc-js';

/** Server and client credentials for the connections between hosts. */
export type PeerCredentials = {
	readonly server: ServerCredentials;
	/** Verifies the certificate of the called host against its host id, which is passed in place of a DNS name. */
	readonly client: ChannelCredentials;
	/** Fleet that callers' certificates must name; absent if connections are plaintext. */
	readonly fleet?: string;
};

/** Returns the URI in the subject alternative names of a host's certificate. */
export function getHostUri(fleet: string, hostId: string): string {
	return `egretrill://${fleet}/${hostId}`;
}

function getUris({subjectaltname = ''}: Partial<PeerCertificate>): readonly string[] {
	return subjectaltname.split(', ').filter(name => name.startsWith('URI:')).map(name => name.slice('URI:'.length));
}

/** True if the certificate's subject alternative names include exactly this URI. */
export function hasUri(cert: Partial<PeerCertificate>, uri: string): boolean {
	return getUris(cert).includes(uri);
}

/** True if the certificate belongs to a host of the fleet. */
export function isFleetHost(cert: Partial<PeerCertificate>, fleet: string): boolean {
	const prefix = getHostUri(fleet, '');
	return getUris(cert).some(uri => uri.startsWith(prefix) && uri.length > prefix.length);
}
