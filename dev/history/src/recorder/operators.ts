import {setTimeout as delay} from 'node:timers/promises';
import {ConfigDocument, type Random} from '@egretrill/common';
import {type DaemonProcess, OPERATOR_KEY} from '@egretrill/testkit';
import got from 'got';
import {z} from 'zod';
import type {OperationStarted, OperationEnded} from '../types.js';
import {
	ADMIN_TIMEOUT_MS, OPERATOR_RETRY_MS, SAMPLE_INTERVAL_MS, SPARE_ENGINES, WITHDRAWN_KEY_COUNT, ZONES,
} from './constants.js';
import type {FleetUnderTest} from './fleet-under-test.js';
import type {Journal} from './journal.js';
import {randomBetween, randomBoolean, pick} from './pick.js';
import {MODELS} from './test-config.js';

export type OperatorContext = {readonly fleet: FleetUnderTest; readonly journal: Journal; readonly random: Random; readonly signal: AbortSignal};

const Answer = z.looseObject({result: z.string(), version: z.int().optional(), digest: z.string().optional()});
const ConfigInForce = z.looseObject({version: z.int(), digest: z.string(), document: ConfigDocument});
type ConfigInForce = z.infer<typeof ConfigInForce>;

/** Results after which a retried change can no longer take effect at a later time. */
const definiteResults: ReadonlySet<string> = new Set(['accepted', 'conflict', 'refused', 'not-found', 'pending', 'in-force']);

/** Sends one request to the admin API; returns undefined when there is no valid answer. */
export async function callAdmin(host: DaemonProcess, path: string, json?: Record<string, unknown>): Promise<unknown> {
	try {
		const res = await got(`http://${host.addresses.admin}${path}`, {
			method: json ? 'POST' : 'GET', ...(json && {json}), headers: {authorization: `Bearer ${OPERATOR_KEY}`}, throwHttpErrors: false, retry: {limit: 0}, timeout: {request: ADMIN_TIMEOUT_MS},
		});
		return JSON.parse(res.body);
	} catch {
		return undefined;
	}
}

/** Reads the configuration in force at a host. */
export async function readConfig(host: DaemonProcess): Promise<ConfigInForce | undefined> {
	return ConfigInForce.safeParse(await callAdmin(host, '/v1/config')).data;
}

/** An operator task: changes one part of the fleet's state until its signal aborts. */
export abstract class Operator {
	constructor(protected readonly context: OperatorContext) {}

	abstract run(): Promise<void>;

	protected pickHost(): DaemonProcess {
		return pick(this.context.random, this.context.fleet.fleet.hosts);
	}

	/** Sends one request and records its start and its end. */
	protected async sendRequest(started: Pick<OperationStarted, 'action' | 'subject' | 'follows'>, path: string, json?: Record<string, unknown>): Promise<Pick<OperationEnded, 'result' | 'version'>> {
		const {journal} = this.context;
		const host = this.pickHost();
		const operation = journal.createId('operation');
		journal.record({
			kind: 'operator-begun', operation, host: host.peer.id, ...started,
		});
		const answer = Answer.safeParse(await callAdmin(host, path, json));
		const {result, version, digest} = answer.success ? answer.data : {result: 'no-answer'};
		journal.record({
			kind: 'operator-ended', operation, result, version, digest,
		});
		return {result, version};
	}

	/** Retries a request under one request id until its result is definite, so that it cannot take effect after later requests. */
	protected async sendUntilDefinite(started: Pick<OperationStarted, 'action' | 'subject'>, path: string, json: Record<string, unknown>): Promise<void> {
		const endsMs = performance.now() + OPERATOR_RETRY_MS;
		const requestId = this.context.journal.createId('change');
		for (;;) {
			const {result} = await this.sendRequest(started, path, {...json, requestId});
			if (definiteResults.has(result) || performance.now() > endsMs) {
				return;
			}

			await delay(SAMPLE_INTERVAL_MS);
		}
	}
}

/** Applies changed documents: sometimes two concurrent changes that follow the same version, and resends of changes, including answered ones. */
export class ApplyOperator extends Operator {
	private changeCount = 0;

	override async run(): Promise<void> {
		const {random, signal} = this.context;
		while (!signal.aborted) {
			const current = await readConfig(this.pickHost());
			if (current) {
				await Promise.all(randomBoolean(random, 0.4) ? [this.applyChange(current), this.applyChange(current)] : [this.applyChange(current)]);
			}

			await delay(randomBetween(random, 50, 600));
		}
	}

	private async applyChange({document, version}: ConfigInForce): Promise<void> {
		const {journal, random} = this.context;
		this.changeCount += 1;
		const requestId = journal.createId('apply');
		// No two documents are equal, so that the digest in an answer identifies one change.
		const weight = 1 + (this.changeCount / 1000) + random();
		const changed = {
			...document,
			customers: document.customers.map(customer => customer.id === 'yard' ? {...customer, weight} : customer),
			// Each pin makes an engine load a model, usually in place of another one.
			placements: {pins: [{model: pick(random, MODELS), target: pick(random, SPARE_ENGINES)}], forbids: []},
		};
		const send = async () => this.sendRequest({action: 'apply', subject: requestId, follows: version}, '/v1/config/apply', {document: changed, follows: version, requestId});
		const {result} = await send();
		if (result === 'no-answer' || result === 'unavailable' || randomBoolean(random, 0.3)) {
			await send();
		}
	}
}

/** Takes zones out of service and returns them to service, one at a time. */
export class ZoneOperator extends Operator {
	override async run(): Promise<void> {
		const {random, signal} = this.context;
		while (!signal.aborted) {
			const zone = pick(random, ZONES);
			const path = `/v1/zones/${zone}/state`;
			await delay(randomBetween(random, 200, 1500));
			await this.sendUntilDefinite({action: 'zone-out', subject: zone}, path, {state: 'taken-out'});
			await delay(randomBetween(random, 2500, 5000));
			await this.sendUntilDefinite({action: 'zone-back', subject: zone}, path, {state: 'in-service'});
		}
	}
}

/** Withdraws keys one after another and polls the state of each withdrawal until it is in force. */
export class KeyOperator extends Operator {
	override async run(): Promise<void> {
		const {random, signal} = this.context;
		for (let i = 1; i <= WITHDRAWN_KEY_COUNT && !signal.aborted; i++) {
			const keyId = `guild-key-${i}`;
			await delay(randomBetween(random, 500, 2500));
			await this.sendUntilDefinite({action: 'withdraw', subject: keyId}, `/v1/keys/${keyId}/withdraw`, {});
			let result = 'pending';
			while (result !== 'in-force' && !signal.aborted) {
				({result} = await this.sendRequest({action: 'withdrawal-state', subject: keyId}, `/v1/keys/${keyId}/withdrawal`));
				await delay(SAMPLE_INTERVAL_MS);
			}
		}
	}
}
