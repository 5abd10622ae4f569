import {
	ConfigDocument, type Customer, describeFound, type Fault, getSchemaFaults, groupBy, type Model, type Pin, type Route,
} from '@egretrill/common';
import {MIN_BURST_TOKENS} from './constants.js';

type Rule = (document: ConfigDocument) => readonly Fault[];

function findDuplicates(path: string, field: string, values: readonly string[]): readonly Fault[] {
	const indexByValue = new Map<string, number>();
	return values.flatMap((value, i) => {
		const firstIndex = indexByValue.get(value);
		if (firstIndex === undefined) {
			indexByValue.set(value, i);
			return [];
		}

		return [{path: `${path}.${i}.${field}`, expected: `a value that ${path}.${firstIndex} does not use`, found: describeFound(value)}];
	});
}

const findDuplicateIds: Rule = ({zones, customers, keys, models, services, accelerators}) => {
	const lists = {
		zones, customers, keys, models, services,
	};
	return [
		...Object.entries(lists).flatMap(([path, entries]) => findDuplicates(path, 'id', entries.map(entry => entry.id))),
		...models.flatMap((model, i) => findDuplicates(`models.${i}.adapters`, 'id', model.adapters.map(adapter => adapter.id))),
		...findDuplicates('accelerators', 'target', accelerators.map(entry => entry.target)),
	];
};

const findKeyFaults: Rule = ({keys, customers}) => {
	const customerIds = new Set(customers.map(customer => customer.id));
	return [
		...keys.flatMap((key, i) => customerIds.has(key.customer) ? [] : [{path: `keys.${i}.customer`, expected: 'the id of a customer in this document', found: describeFound(key.customer)}]),
		...findDuplicates('keys', 'digest', keys.map(key => key.digest)),
	];
};

function trimTrailingSlashes(path: string): string {
	return path.replace(/\/+$/v, '');
}

function overlaps(first: Route, second: Route): boolean {
	const [shorter, longer] = [trimTrailingSlashes(first.path), trimTrailingSlashes(second.path)].toSorted((a, b) => a.length - b.length);
	return longer === shorter || longer!.startsWith(`${shorter}/`);
}

const findServiceFaults: Rule = ({routes, services}) => {
	const serviceIds = new Set(services.map(service => service.id));
	return routes.flatMap((route, i) => route.kind === 'service' && !serviceIds.has(route.service)
		? [{path: `routes.${i}.service`, expected: 'the id of a service in this document', found: describeFound(route.service)}]
		: []);
};

const findOverlapFaults: Rule = ({routes}) => routes.flatMap((route, i) => {
	const overlappingIndex = routes.findIndex((earlier, index) => index < i && overlaps(earlier, route));
	const expected = `a path that does not overlap with routes.${overlappingIndex} (${routes[overlappingIndex]?.path ?? ''})`;
	return overlappingIndex === -1 ? [] : [{path: `routes.${i}.path`, expected, found: describeFound(route.path)}];
});

function findPinFaults(path: string, pins: readonly Pin[], models: ReadonlySet<string>, targets: ReadonlySet<string>): readonly Fault[] {
	return pins.flatMap(({model, target}, i) => [
		...(models.has(model) ? [] : [{path: `${path}.${i}.model`, expected: 'the id of a model in this document', found: describeFound(model)}]),
		...(targets.has(target) ? [] : [{path: `${path}.${i}.target`, expected: 'a target with a declared accelerator', found: describeFound(target)}]),
	]);
}

function getPinKey({model, target}: Pin): string {
	return `${model} ${target}`;
}

const findPlacementFaults: Rule = ({placements, models, accelerators}) => {
	const modelIds = new Set(models.map(model => model.id));
	const targets = new Set(accelerators.map(entry => entry.target));
	const {pins, forbids} = placements;
	const forbidIndexes = new Map(forbids.map((forbid, i) => [getPinKey(forbid), i]));
	return [
		...findPinFaults('placements.pins', pins, modelIds, targets),
		...findPinFaults('placements.forbids', forbids, modelIds, targets),
		...pins.flatMap((pin, i) => {
			const forbidIndex = forbidIndexes.get(getPinKey(pin));
			return forbidIndex === undefined ? [] : [{path: `placements.pins.${i}`, expected: `a pin that placements.forbids.${forbidIndex} does not forbid`, found: `${pin.model} on ${pin.target}`}];
		}),
	];
};

/** Memory that one copy of a model takes on its target, without adapters. */
export function getModelMemoryMb(model: Model): number {
	return model.memoryMb + model.kvReserveMb;
}

const findMemoryFaults: Rule = ({placements, models, accelerators}) => {
	const modelsById = new Map(models.map(model => [model.id, model]));
	const pinsByTarget = groupBy(placements.pins, pin => pin.target);
	const pinFaults = accelerators.flatMap(({target, memoryMb}, i) => {
		const pinnedIds = new Set((pinsByTarget.get(target) ?? []).map(pin => pin.model));
		const pinned = [...pinnedIds].map(id => modelsById.get(id)).filter(model => model !== undefined);
		const pinnedMb = pinned.reduce((total, model) => total + getModelMemoryMb(model), 0);
		const terms = pinned.map(model => `${model.id} ${getModelMemoryMb(model)}`).join(' + ');
		return pinnedMb > memoryMb ? [{path: `accelerators.${i}.memoryMb`, expected: `pinned models of at most ${memoryMb} MB on ${target}`, found: `${terms} = ${pinnedMb} MB`}] : [];
	});
	if (accelerators.length === 0) {
		return pinFaults;
	}

	const largestMb = Math.max(...accelerators.map(entry => entry.memoryMb));
	return [
		...pinFaults,
		...models.flatMap((model, i) => {
			const expected = `memoryMb + kvReserveMb of at most ${largestMb} MB, the largest accelerator`;
			const found = `${model.memoryMb} + ${model.kvReserveMb} = ${getModelMemoryMb(model)} MB`;
			return getModelMemoryMb(model) > largestMb ? [{path: `models.${i}.memoryMb`, expected, found}] : [];
		}),
	];
};

function findBurstFaults({rate}: Customer, i: number): readonly Fault[] {
	const minimums = [['burstRequests', 1], ['burstTokens', MIN_BURST_TOKENS]] as const;
	return minimums.flatMap(([field, minimum]) => rate[field] < minimum
		? [{path: `customers.${i}.rate.${field}`, expected: `a number of at least ${minimum}, so that one request fits`, found: describeFound(rate[field])}]
		: []);
}

const findZoneFaults: Rule = ({zones}) => zones.some(zone => zone.state === 'in-service') ? [] : [{path: 'zones', expected: 'at least one zone in service', found: `${zones.length} taken out`}];

/** The rules between the sections of a document, each with a stable code for its faults. */
export const documentRules: ReadonlyArray<{readonly code: string; readonly find: Rule}> = [
	{code: 'no-zone-in-service', find: findZoneFaults},
	{code: 'duplicate-id', find: findDuplicateIds},
	{code: 'burst-too-small', find: ({customers}) => customers.flatMap((customer, i) => findBurstFaults(customer, i))},
	{code: 'invalid-key', find: findKeyFaults},
	{code: 'unknown-service', find: findServiceFaults},
	{code: 'overlapping-route', find: findOverlapFaults},
	{code: 'invalid-placement', find: findPlacementFaults},
	{code: 'memory-exceeded', find: findMemoryFaults},
];

/** Reports a document of another fleet than the one in force. */
export function findFleetFaults(document: ConfigDocument, current?: ConfigDocument): readonly Fault[] {
	return current && current.fleet !== document.fleet ? [{path: 'fleet', expected: describeFound(current.fleet), found: describeFound(document.fleet)}] : [];
}

/** Lists every fault of a document that conforms to the schema; `current` is the document in force. */
export function validateDocument(document: ConfigDocument, current?: ConfigDocument): readonly Fault[] {
	return [...findFleetFaults(document, current), ...documentRules.flatMap(({find}) => find(document))];
}

/** Outcome of parsing and validating a received document. */
export type DocumentCheck
	= | {readonly isValid: true; readonly document: ConfigDocument}
		| {readonly isValid: false; readonly faults: readonly Fault[]};

/** Parses a received document and lists every fault of it. */
export function checkDocument(input: unknown, current?: ConfigDocument): DocumentCheck {
	const parsed = ConfigDocument.safeParse(input);
	if (!parsed.success) {
		return {isValid: false, faults: getSchemaFaults(input, parsed.error)};
	}

	const faults = validateDocument(parsed.data, current);
	return faults.length > 0 ? {isValid: false, faults} : {isValid: true, document: parsed.data};
}
