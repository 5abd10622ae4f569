import {isIPv4} from 'node:net';
import {z} from 'zod';

const MAX_PORT = 65_535;
/** Longest host name in DNS, in characters. */
const MAX_HOST_LENGTH = 253;
const hostLabel = /^\w(?:[\w\-]{0,61}\w)?$/v;
const portDigits = /^[1-9]\d{0,4}$/v;
const digits = /^\d+$/v;

/** Host and port to which a connection can be opened. */
export type HostAndPort = {readonly host: string; readonly port: number};

/** Whether a host is an IPv4 address or a name that can be looked up. IPv6 addresses are not used between hosts. */
function isHost(host: string): boolean {
	if (host.length > MAX_HOST_LENGTH) {
		return false;
	}

	const labels = host.split('.');
	// A name whose last label is a number would be read as an invalid IP address.
	return digits.test(labels.at(-1) ?? '') ? isIPv4(host) : labels.every(label => hostLabel.test(label));
}

/** Splits an address as host:port; returns undefined if no connection can be opened to it. */
export function parseSocketAddress(address: string): HostAndPort | undefined {
	const separator = address.lastIndexOf(':');
	const host = address.slice(0, Math.max(0, separator));
	const portText = address.slice(separator + 1);
	const port = portDigits.test(portText) ? Number(portText) : 0;
	return isHost(host) && port >= 1 && port <= MAX_PORT ? {host, port} : undefined;
}

/** Address to which a connection can be opened. */
export const SocketAddress = z.string().refine(address => parseSocketAddress(address) !== undefined, 'an address as host:port with a port from 1 to 65535');
