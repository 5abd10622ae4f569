import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';

const digestPattern = /^[\da-f]{64}$/v;

/** Computes the digest under which keys and credentials are stored. */
export function getDigest(secret: string): string {
	return createHash('sha256').update(secret).digest('hex');
}

/** Creates a check of a presented credential that takes the same time for every wrong one. */
export function createCredentialCheck(digest: string): (presented: string) => boolean {
	if (!digestPattern.test(digest)) {
		throw new Error('The credential digest must be 64 lower-case hexadecimal digits.');
	}

	const expected = Buffer.from(digest, 'hex');
	return presented => timingSafeEqual(createHash('sha256').update(presented).digest(), expected);
}

/** Reads the credential of an `Authorization: Bearer` header. */
export function getBearerToken(header: string | undefined): string | undefined {
	return /^Bearer +(?<credential>\S+)$/iv.exec(header ?? '')?.groups?.credential;
}

/** Reads user name and password of an `Authorization: Basic` header. */
export function getBasicCredentials(header: string | undefined): {readonly user: string; readonly password: string} | undefined {
	const encoded = /^Basic +(?<encoded>[\w+\/=]+)$/iv.exec(header ?? '')?.groups?.encoded;
	const decoded = Buffer.from(encoded ?? '', 'base64').toString();
	const colon = decoded.indexOf(':');
	return colon === -1 ? undefined : {user: decoded.slice(0, colon), password: decoded.slice(colon + 1)};
}
