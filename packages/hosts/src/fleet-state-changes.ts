import {createHash} from 'node:crypto';
import {ConfigDocument} from '@egretrill/common';
import type {
	ConfigChange, ConfigUpdate, FleetConfig, ListChange,
} from './types.js';

/** Lists of the configuration document, each with the field that identifies its entries. */
const LIST_KEYS = {
	zones: 'id', customers: 'id', keys: 'id', routes: 'path', models: 'id', services: 'id', accelerators: 'target',
} as const;
const VALUE_FIELDS = ['fleet', 'placements', 'weightStore'] as const;

type ListName = keyof typeof LIST_KEYS;
type Item = Readonly<Record<string, unknown>>;
type ChangeInfo = Pick<ConfigChange, 'version' | 'digest' | 'author'>;

const LIST_NAMES = Object.keys(LIST_KEYS) as readonly ListName[];

/** SHA-256 digest of the document. Parsing with the schema puts the fields in a fixed order. */
export function getDocumentDigest(document: ConfigDocument): string {
	return createHash('sha256').update(JSON.stringify(ConfigDocument.parse(document))).digest('hex');
}

function isEqual(first: unknown, second: unknown): boolean {
	return JSON.stringify(first) === JSON.stringify(second);
}

function getItemId(name: ListName, item: Item): string {
	return String(item[LIST_KEYS[name]]);
}

function diffList(name: ListName, before: readonly Item[], after: readonly Item[]): ListChange {
	const beforeById = new Map(before.map(item => [getItemId(name, item), item]));
	const afterIds = new Set(after.map(item => getItemId(name, item)));
	return {
		set: after.filter(item => !isEqual(item, beforeById.get(getItemId(name, item)))),
		removed: [...beforeById.keys()].filter(id => !afterIds.has(id)),
	};
}

function patchList(name: ListName, items: readonly Item[], change: ListChange): readonly Item[] {
	const set = new Map((change.set as readonly Item[]).map(item => [getItemId(name, item), item]));
	const removed = new Set(change.removed);
	const known = new Set(items.map(item => getItemId(name, item)));
	return [
		...items.filter(item => !removed.has(getItemId(name, item))).map(item => set.get(getItemId(name, item)) ?? item),
		...[...set].filter(([id]) => !known.has(id)).map(([, item]) => item),
	];
}

/** Applies a change to the document of the previous version; throws if the result is not valid. */
export function applyChange(document: ConfigDocument | undefined, change: ConfigChange): ConfigDocument {
	if (change.kind === 'document') {
		return change.document;
	}

	if (document?.version !== change.version - 1) {
		throw new Error(`The change to version ${change.version} does not follow version ${document?.version ?? 0}.`);
	}

	const lists = LIST_NAMES.filter(name => change.lists[name] !== undefined)
		.map(name => [name, patchList(name, document[name], change.lists[name] ?? {set: [], removed: []})]);
	return ConfigDocument.parse({
		...document, ...change.values, ...Object.fromEntries(lists), version: change.version,
	});
}

/** Creates the change to an accepted document: a patch to its predecessor, or the full document if a patch cannot reproduce it. */
export function createChange(before: ConfigDocument | undefined, after: ConfigDocument, info: ChangeInfo): ConfigChange {
	const fullDocument: ConfigChange = {...info, kind: 'document', document: after};
	if (before === undefined) {
		return fullDocument;
	}

	const changedLists = LIST_NAMES.filter(name => !isEqual(before[name], after[name]));
	const changedValues = VALUE_FIELDS.filter(name => !isEqual(before[name], after[name]));
	const patch: ConfigChange = {
		...info,
		kind: 'patch',
		lists: Object.fromEntries(changedLists.map(name => [name, diffList(name, before[name], after[name])])),
		values: Object.fromEntries(changedValues.map(name => [name, after[name]])),
	};
	// A patch cannot express reordered list entries or duplicate ids.
	return isEqual(applyChange(before, patch), ConfigDocument.parse(after)) ? patch : fullDocument;
}

/** Applies an update to a follower's configuration; ignores versions that are not newer. */
export function applyConfigUpdate(config: FleetConfig, update: ConfigUpdate): FleetConfig {
	if (update.kind === 'snapshot') {
		return update.config.version > config.version ? update.config : config;
	}

	let updated = config;
	for (const change of update.changes) {
		if (change.version > updated.version) {
			updated = {
				version: change.version, digest: change.digest, author: change.author, document: applyChange(updated.document, change),
			};
		}
	}

	return updated;
}
