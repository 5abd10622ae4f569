import type {PeerCertificate} from 'node:tls';
import type {ChannelCredentials, ServerCredentials} from '@grpc/grpc-js';

/** Credentials for both directions of the connections between hosts. */
export type PeerCredentials = {
	readonly server: ServerCredentials;
	/** Checks the certificate of the host that a connection is for, whose id it receives in place of a DNS name. */
	readonly client: ChannelCredentials;
	/** Fleet that the certificates of callers must name; absent when the connections are plaintext. */
	readonly fleet?: string;
};

/** The URI name that a host's certificate carries. */
export function getHostUri(fleet: string, hostId: string): string {
	return `egretrill://${fleet}/${hostId}`;
}

function getUris({subjectaltname = ''}: Partial<PeerCertificate>): readonly string[] {
	return subjectaltname.split(', ').filter(name => name.startsWith('URI:')).map(name => name.slice('URI:'.length));
}

/** True if the certificate carries exactly this URI name. */
export function hasUri(cert: Partial<PeerCertificate>, uri: string): boolean {
	return getUris(cert).includes(uri);
}

/** True if the certificate names a host of the fleet. */
export function isFleetHost(cert: Partial<PeerCertificate>, fleet: string): boolean {
	const prefix = getHostUri(fleet, '');
	return getUris(cert).some(uri => uri.startsWith(prefix) && uri.length > prefix.length);
}
