import {isDeepStrictEqual} from 'node:util';
import type {ConfigDocument, Pin} from '@egretrill/common';
import type {Finding} from './types.js';

type Entries = ReadonlyMap<string, {readonly value: unknown; readonly path: string}>;

function toEntries<Entry>(list: string, values: readonly Entry[], getName: (entry: Entry) => string): Entries {
	return new Map(values.map((value, i) => [getName(value), {value, path: `${list}.${i}`}]));
}

function getPinName({model, target}: Pin): string {
	return `${model} on ${target}`;
}

function getLists(document: ConfigDocument): Readonly<Record<string, Entries>> {
	const {placements, routes, accelerators, weightStore} = document;
	const {zones, customers, keys, models, services} = document;
	const listsById = {
		zones, customers, keys, models, services,
	};
	return {
		...Object.fromEntries(Object.entries(listsById).map(([list, values]) => [list, toEntries<{id: string}>(list, values, entry => entry.id)])),
		routes: toEntries('routes', routes, route => route.path),
		accelerators: toEntries('accelerators', accelerators, entry => entry.target),
		'placements.pins': toEntries('placements.pins', placements.pins, getPinName),
		'placements.forbids': toEntries('placements.forbids', placements.forbids, getPinName),
		weightStore: new Map([['limits', {value: weightStore, path: 'weightStore'}]]),
	};
}

function reportDifference(code: 'added' | 'removed' | 'changed', list: string, name: string, path: string): Finding {
	return {
		kind: 'difference', code, path, message: `${code} in ${list}: ${name}`,
	};
}

function compareEntries(list: string, before: Entries, after: Entries): readonly Finding[] {
	const removed = [...before.keys()].filter(name => !after.has(name)).map(name => reportDifference('removed', list, name, list));
	const others = [...after].flatMap(([name, {value, path}]) => {
		const earlier = before.get(name);
		if (!earlier) {
			return [reportDifference('added', list, name, path)];
		}

		return isDeepStrictEqual(earlier.value, value) ? [] : [reportDifference('changed', list, name, path)];
	});
	return [...removed, ...others];
}

/** Lists the entries that a document adds to, removes from or changes in the one in force. */
export function findDifferences(document: ConfigDocument, current: ConfigDocument): readonly Finding[] {
	const before = getLists(current);
	return Object.entries(getLists(document)).flatMap(([list, entries]) => compareEntries(list, before[list] ?? new Map(), entries));
}
