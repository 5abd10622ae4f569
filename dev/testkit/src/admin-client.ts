import {type ConfigDocument} from '@egretrill/common';
import got from 'got';
import type {DaemonProcess} from './daemon-process.js';
import {MONITOR_KEY, OPERATOR_KEY} from './fleet.js';

/** One answer of the operators' API. */
export type AdminAnswer = {readonly status: number; readonly body: Readonly<Record<string, unknown>>};

const headers = {authorization: `Bearer ${OPERATOR_KEY}`};

async function send(url: string, json?: Record<string, unknown>): Promise<AdminAnswer> {
	const res = await got(url, {
		method: json ? 'POST' : 'GET', headers, ...(json && {json}), throwHttpErrors: false, retry: {limit: 0}, timeout: {request: 15_000},
	});
	return {status: res.statusCode, body: JSON.parse(res.body) as Record<string, unknown>};
}

/** A promise that the monitor of a host reports as broken, with the last breach that it observed. */
export type Breach = {readonly host: string; readonly promise: string; readonly lastBreach: string};

/** Reads the broken promises from the monitor address of each host; hosts that do not answer are left out. */
export async function getBreaches(hosts: readonly DaemonProcess[]): Promise<readonly Breach[]> {
	const answers = await Promise.allSettled(hosts.map(async host => {
		const {promises} = await got(`http://${host.addresses.monitor}/v1/promises`, {
			headers: {authorization: `Bearer ${MONITOR_KEY}`}, retry: {limit: 0}, timeout: {request: 5000},
		}).json<{promises: ReadonlyArray<{promise: string; state: string; lastBreach: string}>}>();
		return promises.filter(({state}) => state === 'broken').map(({promise, lastBreach}) => ({host: host.peer.id, promise, lastBreach}));
	}));
	return answers.flatMap(answer => answer.status === 'fulfilled' ? answer.value : []);
}

/** Applies a document that was made from the version `follows`. */
export async function applyDocument(host: DaemonProcess, document: ConfigDocument, follows: number, requestId: string): Promise<AdminAnswer> {
	return send(`http://${host.addresses.admin}/v1/config/apply`, {document, follows, requestId});
}

/** Reads the configuration in force at a host. */
export async function getConfig(host: DaemonProcess): Promise<{readonly version: number; readonly document: ConfigDocument}> {
	const {body} = await send(`http://${host.addresses.admin}/v1/config`);
	return body as unknown as {version: number; document: ConfigDocument};
}

/** Takes a zone out of service or returns it to service. */
export async function setZoneState(host: DaemonProcess, zone: string, state: 'in-service' | 'taken-out'): Promise<AdminAnswer> {
	return send(`http://${host.addresses.admin}/v1/zones/${zone}/state`, {state});
}

/** Withdraws a key; the answer says whether any host may still honour it. */
export async function withdrawKey(host: DaemonProcess, keyId: string): Promise<AdminAnswer> {
	return send(`http://${host.addresses.admin}/v1/keys/${keyId}/withdraw`, {});
}

export async function getWithdrawal(host: DaemonProcess, keyId: string): Promise<AdminAnswer> {
	return send(`http://${host.addresses.admin}/v1/keys/${keyId}/withdrawal`);
}
