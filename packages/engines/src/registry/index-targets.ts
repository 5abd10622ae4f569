import type {Registration} from '@egretrill/common';

/** Key of a service, or of one of its models. */
export function getModelKey(service: string, model?: string): string {
	return JSON.stringify([service, model]);
}

/** Indexes targets by service, and by service and model, preserving their order. */
export function indexTargets<T extends {readonly registration: Registration}>(targets: Iterable<T>): ReadonlyMap<string, readonly T[]> {
	const index = new Map<string, T[]>();
	for (const target of targets) {
		const {service, models} = target.registration;
		// The set removes duplicate keys of a target that holds two versions of a model.
		for (const key of new Set([getModelKey(service), ...models.map(({name}) => getModelKey(service, name))])) {
			const known = index.get(key);
			if (known) {
				known.push(target);
			} else {
				index.set(key, [target]);
			}
		}
	}

	return index;
}
