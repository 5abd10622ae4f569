import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';

/** Creates a function that checks the monitor's credential in an `Authorization` header: a bearer token or, from a browser, a Basic password. */
export function createMonitorCredentialCheck(digest: string): (header: string | undefined) => boolean {
	const expected = Buffer.from(digest, 'hex');
	if (expected.length !== 32) {
		throw new Error('The credential digest must be 64 hexadecimal digits.');
	}

	return header => {
		const {scheme = '', value = ''} = /^(?<scheme>Basic|Bearer) +(?<value>\S+)$/iv.exec(header ?? '')?.groups ?? {};
		const presented = scheme.toLowerCase() === 'basic' ? Buffer.from(value, 'base64').toString().replace(/^[^:]*:/v, '') : value;
		return timingSafeEqual(createHash('sha256').update(presented).digest(), expected);
	};
}
