import {createHash} from 'node:crypto';
import {ConfigDocument} from '@egretrill/common';
import {createLocalConfig} from '@egretrill/testkit';
import {SPARE_ENGINES, WITHDRAWN_KEY_COUNT, ZONES} from './constants.js';

/** Two customers stay within their rates, archive exceeds its rate of requests and survey that of tokens, and the keys of guild are withdrawn one by one. */
const customers = ['yard', 'port', 'archive', 'survey', 'guild'];

const lowRates: Readonly<Record<string, Record<string, number>>> = {
	archive: {
		requestsPerSecond: 10, burstRequests: 15, tokensPerSecond: 50_000, burstTokens: 100_000,
	},
	survey: {
		requestsPerSecond: 1000, burstRequests: 2000, tokensPerSecond: 200, burstTokens: 400,
	},
};

/** Two of these models fit into the memory of one engine. */
export const MODELS = ['inscription', 'relief', 'chart'];
export const MODEL_MB = 20_000;
export const ENGINE_MB = 48_000;

/** Short timeouts limit the time in queues, which keeps the interval between the start of a call and of its run narrow for the rate check. */
const timeoutsMs: Readonly<Record<string, number>> = {'/v1/chat/completions': 3000, '/registry/': 500};

/** Key text that is sent for a key id; stand-ins search request headers for its prefix. */
export function getKey(keyId: string): string {
	return `example-key-${keyId}`;
}

export function createTestConfig(): ConfigDocument {
	const config = createLocalConfig(ZONES, customers);
	const model = config.models[0];
	const guildKeys = Array.from({length: WITHDRAWN_KEY_COUNT}, (_, i) => ({id: `guild-key-${i + 1}`, customer: 'guild'}));
	return ConfigDocument.parse({
		...config,
		customers: config.customers.map(customer => ({...customer, ...(lowRates[customer.id] && {rate: lowRates[customer.id]})})),
		keys: [...customers.map(id => ({id, customer: id})), ...guildKeys].map(key => ({...key, digest: createHash('sha256').update(getKey(key.id)).digest('hex')})),
		models: MODELS.map(id => ({
			...model, id, memoryMb: MODEL_MB - 4000, kvReserveMb: 4000, adapters: [],
		})),
		accelerators: SPARE_ENGINES.map(target => ({target, memoryMb: ENGINE_MB})),
		routes: config.routes.map(route => ({...route, timeoutMs: timeoutsMs[route.path] ?? route.timeoutMs})),
	});
}
