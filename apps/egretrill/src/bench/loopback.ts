import {isIPv4} from 'node:net';

/** Checks whether a URL has a loopback IP address; host names are rejected, because they may resolve to other addresses. */
export function isLoopbackUrl(text: string): boolean {
	const url = URL.parse(text);
	if (url?.protocol !== 'http:') {
		return false;
	}

	return url.hostname === '[::1]' || (isIPv4(url.hostname) && url.hostname.startsWith('127.'));
}
