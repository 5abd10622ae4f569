import {type ConfigDocument} from '@egretrill/common';
import {type DaemonProcess, OPERATOR_KEY} from '@egretrill/testkit';
import got from 'got';

/** One answer of the admin API. */
export type AdminAnswer = {readonly status: number; readonly body: Readonly<Record<string, unknown>>};

const headers = {authorization: `Bearer ${OPERATOR_KEY}`};

async function send(url: string, json?: Record<string, unknown>): Promise<AdminAnswer> {
	const res = await got(url, {
		method: json ? 'POST' : 'GET', headers, ...(json && {json}), throwHttpErrors: false, retry: {limit: 0}, timeout: {request: 15_000},
	});
	return {status: res.statusCode, body: JSON.parse(res.body) as Record<string, unknown>};
}

/** Applies a document that follows a version. */
export async function applyDocument(host: DaemonProcess, document: ConfigDocument, follows: number, requestId: string): Promise<AdminAnswer> {
	return send(`http://${host.addresses.admin}/v1/config/apply`, {document, follows, requestId});
}

/** Reads the configuration in force at a host. */
export async function getConfig(host: DaemonProcess): Promise<{readonly version: number; readonly document: ConfigDocument}> {
	const {body} = await send(`http://${host.addresses.admin}/v1/config`);
	return body as unknown as {version: number; document: ConfigDocument};
}

/** Takes a zone out of service or puts it back. */
export async function setZoneState(host: DaemonProcess, zone: string, state: 'in-service' | 'taken-out'): Promise<AdminAnswer> {
	return send(`http://${host.addresses.admin}/v1/zones/${zone}/state`, {state});
}
