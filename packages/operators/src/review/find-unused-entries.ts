import type {ConfigDocument, Pin} from '@egretrill/common';
import type {Finding} from './types.js';

function warn(code: string, path: string, message: string): Finding {
	return {
		kind: 'warning', code, path, message,
	};
}

function findCustomersWithoutKey({customers, keys}: ConfigDocument): readonly Finding[] {
	const customersWithKey = new Set(keys.filter(key => key.state === 'active').map(key => key.customer));
	return customers.flatMap(({id}, i) => customersWithKey.has(id)
		? []
		: [warn('customer-without-key', `customers.${i}`, `customer ${id} has no active key, so its rate and weight are never used`)]);
}

function findKeysWithoutRoute({keys, routes}: ConfigDocument): readonly Finding[] {
	if (routes.some(route => route.access === 'keyed')) {
		return [];
	}

	return keys.flatMap(({id, state}, i) => state === 'active'
		? [warn('key-without-route', `keys.${i}`, `key ${id} is never used, because no route has keyed access`)]
		: []);
}

function findServicesWithoutRoute({services, routes}: ConfigDocument): readonly Finding[] {
	const routed = new Set(routes.flatMap(route => route.kind === 'service' ? [route.service] : []));
	return services.flatMap(({id}, i) => routed.has(id)
		? []
		: [warn('service-without-route', `services.${i}`, `no route leads to service ${id}`)]);
}

function findModelsWithoutRoute({models, routes}: ConfigDocument): readonly Finding[] {
	if (routes.some(route => route.kind === 'model')) {
		return [];
	}

	return models.map(({id}, i) => warn('model-without-route', `models.${i}`, `model ${id} cannot be requested, because no route is of kind model`));
}

function findRoutesWithoutModel({models, routes}: ConfigDocument): readonly Finding[] {
	if (models.length > 0) {
		return [];
	}

	return routes.flatMap(({kind, path}, i) => kind === 'model'
		? [warn('route-without-model', `routes.${i}`, `every request to ${path} is refused, because the document has no model`)]
		: []);
}

function findRepeatedPlacements(path: string, entries: readonly Pin[]): readonly Finding[] {
	const firstIndexes = new Map<string, number>();
	return entries.flatMap(({model, target}, i) => {
		const name = `${model} on ${target}`;
		const firstIndex = firstIndexes.get(name);
		if (firstIndex === undefined) {
			firstIndexes.set(name, i);
			return [];
		}

		return [warn('repeated-placement', `${path}.${i}`, `${name} is already in ${path}.${firstIndex}`)];
	});
}

/** Lists entries that have no effect. */
export function findUnusedEntries(document: ConfigDocument): readonly Finding[] {
	return [
		...findCustomersWithoutKey(document),
		...findKeysWithoutRoute(document),
		...findServicesWithoutRoute(document),
		...findModelsWithoutRoute(document),
		...findRoutesWithoutModel(document),
		...findRepeatedPlacements('placements.pins', document.placements.pins),
		...findRepeatedPlacements('placements.forbids', document.placements.forbids),
	];
}
