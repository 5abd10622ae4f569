import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';

const digestPattern = /^[\da-f]{64}$/v;

/** Computes the digest under which keys and credentials are stored. */
export function getDigest(secret: string): string {
	return createHash('sha256').update(secret).digest('hex');
}

/** Creates a function that checks a credential in constant time. */
export function createCredentialCheck(digest: string): (presented: string) => boolean {
	if (!digestPattern.test(digest)) {
		throw new Error('The credential digest must be 64 lower-case hexadecimal digits.');
	}

	const expected = Buffer.from(digest, 'hex');
	return presented => timingSafeEqual(createHash('sha256').update(presented).digest(), expected);
}

/** Parses the token of an `Authorization: Bearer` header. */
export function getBearerToken(header: string | undefined): string | undefined {
	return /^Bearer +(?<credential>\S+)$/iv.exec(header ?? '')?.groups?.credential;
}

/** Parses the user name and the password of an `Authorization: Basic` header. */
export function getBasicCredentials(header: string | undefined): {readonly user: string; readonly password: string} | undefined {
	const encoded = /^Basic +(?<encoded>[\w+\/=]+)$/iv.exec(header ?? '')?.groups?.encoded;
	const decoded = Buffer.from(encoded ?? '', 'base64').toString();
	const colonIndex = decoded.indexOf(':');
	return colonIndex === -1 ? undefined : {user: decoded.slice(0, colonIndex), password: decoded.slice(colonIndex + 1)};
}
