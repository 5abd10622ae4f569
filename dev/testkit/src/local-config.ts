import {createHash} from 'node:crypto';
import {ConfigDocument} from '@egretrill/common';

/** Returns the API key of a customer in the local configuration. */
export function getLocalKey(customer: string): string {
	return `example-key-${customer}`;
}

const largeRate = {
	tokensPerSecond: 50_000, burstTokens: 100_000, requestsPerSecond: 1000, burstRequests: 2000,
};

/** Creates a small configuration with one model, a registry and an ordering service, for the demo and for tests. */
export function createLocalConfig(zones: readonly string[], customers: readonly string[] = ['yard', 'port']): ConfigDocument {
	return ConfigDocument.parse({
		version: 1,
		fleet: 'local',
		zones: zones.map(id => ({id, region: 'local'})),
		customers: customers.map(id => ({id, rate: largeRate})),
		keys: customers.map(id => ({id: `${id}-1`, customer: id, digest: createHash('sha256').update(getLocalKey(id)).digest('hex')})),
		routes: [
			{
				path: '/v1/chat/completions', kind: 'model', access: 'keyed', idempotent: true, timeoutMs: 60_000,
			},
			{
				path: '/registry/', kind: 'service', service: 'registry', access: 'keyed', idempotent: true, timeoutMs: 2000,
			},
			{
				path: '/public/', kind: 'service', service: 'registry', access: 'open', idempotent: true, timeoutMs: 2000,
			},
			{
				path: '/orders', kind: 'service', service: 'ordering', access: 'keyed', idempotent: false, timeoutMs: 5000,
			},
		],
		services: [{id: 'registry'}, {id: 'ordering'}],
		models: [{
			id: 'inscription', version: 'v1', memoryMb: 16_000, kvReserveMb: 4000, adapters: [{id: 'plaque', memoryMb: 200}],
		}],
		weightStore: {loadsPerSecond: 2, concurrentLoads: 9, concurrentAdapterLoads: 70},
	});
}
