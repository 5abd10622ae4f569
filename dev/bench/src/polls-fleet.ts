import {
	type EngineClass, type Random, type Registration, type TrafficCustomer,
} from '@egretrill/common';
import type {EntryReport} from '@egretrill/egretrilld/traffic';

/** Size of the simulated fleet, the largest that has been run as a whole. */
export const FLEET = {
	hosts: 80, engines: 63, models: 126, adapters: 462, controls: 8, customers: 12, requestsPerSecond: 1000,
} as const;

export const SERVICE = 's';
/** Duration of a request at an engine. */
const REQUEST_SECONDS = 2;
const ADAPTERS_PER_MODEL = Math.ceil(FLEET.adapters / FLEET.models);

export type RequestKind = {readonly targetId: string; readonly model: string; readonly adapter: string};

export const engineClass: EngineClass = {
	batchSlots: 64,
	weightsMb: 200_000,
	adapterSlots: 8,
	storeLoadsPerSecond: 2.8,
	models: Array.from({length: FLEET.models}, (_, i) => ({
		name: `model-${i}`, weightsMb: 65_000, storeLoadMs: 3800, diskLoadMs: 760, memoryLoadMs: 380, adapterMb: 40,
	})),
};

export const customers: ReadonlyMap<string, TrafficCustomer> = new Map(Array.from({length: FLEET.customers}, (_, i) => [`customer-${i}`, {
	name: `customer-${i}`, keys: [], unit: 'tokens', plainTokens: 200, ratePerSecond: 60_000, burst: 600_000,
}]));

export function createRegistration(engine: number, sequence: number): Registration {
	const models = [(2 * engine) % FLEET.models, ((2 * engine) + 1) % FLEET.models].map(model => ({
		name: `model-${model}`, version: 1, adapters: Array.from({length: ADAPTERS_PER_MODEL}, (_, i) => `adapter-${model}-${i}`),
	}));
	return {
		targetId: `engine-${engine}`,
		startedAtMs: 1000,
		sequence,
		service: SERVICE,
		address: `127.0.0.1:${10_000 + engine}`,
		zone: `zone-${engine % 3}`,
		slots: 64,
		isLeaving: false,
		coldForMs: 0,
		models,
		orderCount: sequence,
		inMemory: Array.from({length: 6}, (_, i) => `model-${(engine + i) % FLEET.models}`),
		onDisk: Array.from({length: 12}, (_, i) => `model-${(engine + (2 * i)) % FLEET.models}`),
	};
}

export function pickRequestKind(random: Random): RequestKind {
	const engine = Math.floor(random() * FLEET.engines);
	const model = ((2 * engine) + Math.floor(random() * 2)) % FLEET.models;
	return {targetId: `engine-${engine}`, model: `model-${model}`, adapter: `adapter-${model}-${Math.floor(random() * ADAPTERS_PER_MODEL)}`};
}

/** Creates the report of one host; all hosts get the same share of the requests. */
export function createReport(host: number, ackedSerial: number, arrivals: number, random: Random): EntryReport {
	const running = Array.from({length: Math.round(FLEET.requestsPerSecond * REQUEST_SECONDS / FLEET.hosts)}, () => pickRequestKind(random));
	const counts = new Map<string, number>();
	for (const {targetId} of running) {
		counts.set(targetId, (counts.get(targetId) ?? 0) + 1);
	}

	return {
		hostId: `host-${host}`,
		startId: 'start',
		running: [...counts],
		adapters: running.map(({targetId, model, adapter}) => [targetId, model, adapter, 1]),
		arrivals: Array.from({length: arrivals}, () => pickRequestKind(random)).map(({model, adapter}) => [SERVICE, model, adapter, 1, REQUEST_SECONDS * 1000]),
		waiting: [[SERVICE, `model-${host}`, 1, 1]],
		rates: {
			ackedSerial, standing: 0.25 / FLEET.hosts, demand: [...customers.keys()].map(name => ({name, perSecond: 1000 * random(), meanCost: 200})),
		},
	};
}
