import {isIPv4} from 'node:net';

/** Tells whether a URL names a loopback address; host names are refused, because they may resolve elsewhere. */
export function isLoopbackUrl(text: string): boolean {
	const url = URL.parse(text);
	if (url?.protocol !== 'http:') {
		return false;
	}

	return url.hostname === '[::1]' || (isIPv4(url.hostname) && url.hostname.startsWith('127.'));
}
