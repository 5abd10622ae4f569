import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {mkdtemp, rm} from 'node:fs/promises';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Writable} from 'node:stream';
import {ConfigDocument, createLogger} from '@egretrill/common';
import {expect} from 'chai';
import {
	createMonitorApp, EvidenceLog, FileEvidenceStorage, MonitorView, PromiseCounters, type MonitoredConfig,
} from '../src/index.js';

const credential = 'monitor-credential';
const digest = createHash('sha256').update(credential).digest('hex');
const headers = {authorization: `Bearer ${credential}`};
const getWallTime = () => '2026-12-04T08:00:00.000Z';

type Send = (path: string, init?: RequestInit) => Promise<unknown>;

class StaticMonitorView extends MonitorView {
	config: MonitoredConfig | undefined = {
		version: 3, digest, author: '<b>ana</b>', document: ConfigDocument.parse({
			version: 3,
			fleet: 'demo',
			zones: [{id: 'a', region: 'r'}],
			customers: [{
				id: 'atlas', rate: {
					tokensPerSecond: 1000, burstTokens: 4000, requestsPerSecond: 10, burstRequests: 20,
				},
			}],
			keys: [{
				id: 'k1', customer: 'atlas', digest, state: 'withdrawn',
			}],
			routes: [],
			models: [],
			placements: {forbids: [{model: 'm1', target: 't2'}]},
			weightStore: {loadsPerSecond: 2, concurrentLoads: 9, concurrentAdapterLoads: 70},
		}),
	};

	async getConfig() {
		return this.config;
	}

	async getCopies() {
		return [{
			model: 'm1', version: 'v1', target: 't1', zone: 'a', state: 'resident' as const,
		}];
	}

	async getKeyState() {
		return 'withdrawal-pending' as const;
	}
}

describe('monitor app', () => {
	let folder = '';
	let evidence: EvidenceLog;
	const promises = new PromiseCounters();

	before(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'egretrill-monitor-'));
		evidence = await EvidenceLog.open({storage: await FileEvidenceStorage.open(path.join(folder, 'evidence.log')), getWallTime});
		await evidence.append({
			kind: 'key-withdrawn', key: 'k1', customer: 'atlas', version: 3, state: 'pending', author: '<script>alert(1)</script>',
		});
		await evidence.append({
			kind: 'order-given', target: 't1', order: {
				kind: 'load-model', orderId: 'o1', fencing: 4, expiresInMs: 2000, model: 'm1', version: 'v1',
			},
		});
		promises.countHeld('P3', 5);
		promises.countBreach('P9', 'request r1 ran twice');
	});

	after(async () => {
		await evidence.close();
		await rm(folder, {recursive: true});
	});

	async function withMonitor(view: StaticMonitorView, hasEvidence: boolean, use: (send: Send) => Promise<void>): Promise<void> {
		const logger = createLogger('test', 'fatal', new Writable());
		const server = createMonitorApp({
			view, promises, monitorKeyDigest: digest, logger, evidence: hasEvidence ? evidence : undefined,
		}).listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		try {
			await use(async (resource, init) => {
				const res = await fetch(`http://127.0.0.1:${port}${resource}`, init ?? {headers});
				const text = await res.text();
				const isJson = res.headers.get('content-type')?.includes('json');
				return {status: res.status, allow: res.headers.get('allow'), body: isJson ? text !== '' && JSON.parse(text) as unknown : text.split('\n')};
			});
		} finally {
			server.closeAllConnections();
			server.close();
		}
	}

	it('answers each resource', async () => {
		await withMonitor(new StaticMonitorView(), true, async send => {
			const paths = [
				'customers',
				'rates',
				'keys',
				'placements',
				'zones',
				'promises',
				'evidence?limit=1',
				'evidence?after=0',
				'evidence?after=x',
				'evidence/verification',
				`evidence/verification?seq=7&hash=${digest}`,
				'evidence/verification?seq=7',
			];
			for (const name of paths) {
				expect(await send(`/v1/${name}`)).toMatchSnapshot(name);
			}
		});
	});

	it('shows all reports and evidence on one page with markup escaped', async () => {
		await withMonitor(new StaticMonitorView(), true, async send => {
			const page = await send('/');
			expect(JSON.stringify(page)).not.to.include('<script>').and.not.to.include('<b>');
			expect(page).toMatchSnapshot();
		});
	});

	it('answers 405 to every method other than GET and HEAD, also with the right credential', async () => {
		await withMonitor(new StaticMonitorView(), true, async send => {
			const answers = await Promise.all(['POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'].map(async method => send('/v1/zones', {method, headers})));
			expect(new Set(answers.map(answer => JSON.stringify(answer))).size).to.equal(1);
			expect(answers[0]).toMatchSnapshot();
			expect(await send('/v1/zones', {method: 'HEAD', headers})).to.include({status: 200});
		});
	});

	it('refuses other credentials, so that neither callers nor operators can read the monitor\'s reports', async () => {
		await withMonitor(new StaticMonitorView(), true, async send => {
			for (const authorization of ['', 'Bearer ', 'Bearer operator-credential', `Basic ${credential}`]) {
				expect(await send('/v1/keys', {headers: {authorization}}), authorization).to.include({status: 401});
			}

			const basic = `Basic ${Buffer.from(`eva:${credential}`).toString('base64')}`;
			expect(await send('/', {headers: {authorization: basic}})).to.include({status: 200});
		});
	});

	it('answers with the reason on a host without a disk or without a configuration', async () => {
		const view = new StaticMonitorView();
		view.config = undefined;
		await withMonitor(view, false, async send => {
			expect([await send('/v1/evidence'), await send('/v1/keys'), await send('/'), await send('/v1/nothing')]).toMatchSnapshot();
		});
	});
});
