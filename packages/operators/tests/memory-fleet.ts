import {Buffer} from 'node:buffer';
import {Writable} from 'node:stream';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {ConfigDocument, createLogger, type ZoneState} from '@egretrill/common';
import {
	createAdminApp, FleetControl, getDigest, validateDocument, type ApplyOutcome, type ConfigChange, type ConfigInForce, type ConfigStamp, type ControlRequest,
} from '../src/index.js';

export const credential = 'operator-credential';

/** Encodes an `Authorization: Basic` header. */
export function getBasicHeader(user: string, password: string): string {
	return `Basic ${Buffer.from(`${user}:${password}`).toString('base64')}`;
}

/** Creates a valid document; `change` replaces its top-level fields. */
export function createDocument(change: Readonly<Record<string, unknown>> = {}): ConfigDocument {
	return ConfigDocument.parse({
		version: 1,
		fleet: 'demo',
		zones: [{id: 'a', region: 'r'}, {id: 'b', region: 'r'}],
		customers: [{
			id: 'atlas', rate: {
				tokensPerSecond: 1000, burstTokens: 4000, requestsPerSecond: 10, burstRequests: 20,
			},
		}],
		keys: [{id: 'k1', customer: 'atlas', digest: getDigest('k1')}],
		routes: [{kind: 'model', path: '/v1/chat/completions', idempotent: true}, {
			kind: 'service', path: '/orders', service: 'casting', idempotent: false,
		}],
		models: [{
			id: 'm1', version: 'v1', memoryMb: 10_000, kvReserveMb: 2000, adapters: [{id: 'ad1', memoryMb: 50}],
		}],
		services: [{id: 'casting'}],
		accelerators: [{target: 't1', memoryMb: 24_000}],
		placements: {pins: [{model: 'm1', target: 't1'}]},
		weightStore: {loadsPerSecond: 2, concurrentLoads: 9, concurrentAdapterLoads: 70},
		...change,
	});
}

/** In-memory fleet control for one configuration, with the same outcomes as the real one. */
export class MemoryFleet extends FleetControl {
	inForce: ConfigInForce | undefined = {
		version: 1, digest: getDigest('1'), author: 'ana', document: createDocument(),
	};

	/** Outcome or error of the next apply, instead of applying the document. */
	injectedOutcome: ApplyOutcome | Error | undefined;
	private readonly stampsByRequestId = new Map<string, ConfigStamp>();

	async getConfig() {
		return this.inForce;
	}

	async apply({document, follows, requestId, author}: ConfigChange): Promise<ApplyOutcome> {
		const {injectedOutcome} = this;
		this.injectedOutcome = undefined;
		if (injectedOutcome instanceof Error) {
			throw injectedOutcome;
		}

		const appliedStamp = this.stampsByRequestId.get(requestId);
		if (injectedOutcome) {
			return injectedOutcome;
		}

		if (appliedStamp) {
			return {result: 'accepted', ...appliedStamp};
		}

		const {inForce} = this;
		if (inForce && follows !== inForce.version) {
			return {result: 'conflict', winner: {version: inForce.version, digest: inForce.digest, author: inForce.author}};
		}

		const faults = [...validateDocument(document, inForce?.document)];
		if (faults.length > 0) {
			return {result: 'refused', faults};
		}

		const stamp = {version: follows + 1, digest: getDigest(JSON.stringify(document)), author};
		this.stampsByRequestId.set(requestId, stamp);
		this.inForce = {...stamp, document};
		return {result: 'accepted', ...stamp};
	}

	async withdrawKey({id}: ControlRequest) {
		return id === 'k1'
			? {
				result: 'pending' as const, key: id, version: 2, waitingFor: ['host-b'],
			}
			: this.createNotFound('key');
	}

	async getWithdrawal(id: string) {
		return id === 'k1' ? {result: 'in-force' as const, key: id, version: 2} : this.createNotFound('key');
	}

	async setZoneState({id}: ControlRequest, state: ZoneState) {
		return id === 'a' ? {result: 'refused' as const, faults: [{path: 'zones', expected: 'at least one zone in service', found: state}]} : this.createNotFound('zone');
	}

	async drainHost({id}: ControlRequest) {
		return id === 'host-a' ? {result: 'draining' as const, host: id} : {result: 'unavailable' as const, effect: 'not-applied' as const, reason: 'The host does not answer.'};
	}

	async getStatus() {
		return {
			host: 'host-a', zone: 'a', leader: null, term: 3, inForce: null, hosts: [], zones: [],
		};
	}

	async getTargets() {
		return [];
	}

	async explainPlacement(model: string) {
		return model === 'm1'
			? {
				model, demand: 2, copies: [], candidates: [{target: 't1', chosen: true, reason: 'pinned'}],
			}
			: undefined;
	}

	private createNotFound(kind: string) {
		return {result: 'not-found' as const, reason: `There is no such ${kind}.`};
	}
}

export type Exchange = {
	readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly body: string;
};

const recordedHeaders = ['content-type', 'location', 'set-cookie', 'www-authenticate', 'x-egretrill-verdict', 'content-security-policy', 'referrer-policy'];

/** Replaces values that differ between runs. */
export function normalise(text: string): string {
	return text
		.replaceAll(/[\da-f]{8}(?:-[\da-f]{4}){3}-[\da-f]{12}/gv, '<uuid>')
		.replaceAll(/[\da-f]{64}/gv, '<digest>')
		.replaceAll(/(?<=egretrill-console=|name="token" value=")[\w\-]{43}/gv, '<random>')
		.replaceAll(/(?<=<code>)[\w\-]{43}/gv, '<secret>');
}

/** Serves the admin app on a free port while `use` runs. */
export async function withAdmin(fleet: MemoryFleet, use: (send: (path: string, init?: RequestInit) => Promise<Exchange>, origin: string) => Promise<void>): Promise<void> {
	const logger = createLogger('test', 'fatal', new Writable());
	const server = createAdminApp({control: fleet, adminKeyDigest: getDigest(credential), logger}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
	try {
		await use(async (path, init) => {
			const res = await fetch(`${origin}${path}`, {redirect: 'manual', ...init});
			const headers = Object.fromEntries(recordedHeaders.flatMap(name => res.headers.get(name) === null ? [] : [[name, res.headers.get(name)!]]));
			return {status: res.status, headers, body: await res.text()};
		}, origin);
	} finally {
		server.closeAllConnections();
		server.close();
	}
}
