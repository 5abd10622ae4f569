import {
	documentFields, sections, type FormField, type FormSection,
} from './form-sections.js';

/** A document as the form holds it, which may not be valid yet. */
export type Draft = Readonly<Record<string, unknown>>;
type Entry = Record<string, unknown>;
type PostedFields = ReadonlyMap<string, string>;

/** Reads a value at a path with dots. */
export function getAt(value: unknown, path: string): unknown {
	let current = value;
	for (const key of path.split('.')) {
		current = typeof current === 'object' && current !== null && Object.hasOwn(current, key) ? (current as Entry)[key] : undefined;
	}

	return current;
}

/** Returns a copy with the value at a path replaced; a missing parent becomes a map. */
export function setAt(value: unknown, path: string, replacement: unknown): unknown {
	const [key = '', ...rest] = path.split('.');
	const parent = typeof value === 'object' && value !== null ? value : {};
	const child = rest.length === 0 ? replacement : setAt((parent as Entry)[key], rest.join('.'), replacement);
	return Array.isArray(parent) ? parent.with(Number(key), child) : {...parent, [key]: child};
}

/** Returns the entries of a list of the draft. */
export function getEntries(value: unknown, path: string): readonly unknown[] {
	const list = getAt(value, path);
	return Array.isArray(list) ? list : [];
}

function parseField(field: FormField, sent: string | undefined): unknown {
	if (field.kind === 'checkbox') {
		return sent !== undefined;
	}

	const trimmed = sent?.trim() ?? '';
	if (trimmed === '') {
		return undefined;
	}

	// What is not a number stays text, so that the schema reports it at its field.
	const parsed = Number(trimmed);
	return field.kind === 'number' && Number.isFinite(parsed) ? parsed : trimmed;
}

function parseFields(fields: readonly FormField[], prefix: string, sent: PostedFields): unknown {
	let entry: unknown = {};
	for (const field of fields) {
		entry = setAt(entry, field.name, parseField(field, sent.get(`${prefix}${field.name}`)));
	}

	return entry;
}

function countEntries(prefix: string, names: ReadonlySet<string>): number {
	let count = 0;
	while (names.has(`${prefix}.${count}`)) {
		count++;
	}

	return count;
}

function parseList(section: FormSection, prefix: string, sent: PostedFields, names: ReadonlySet<string>): readonly unknown[] {
	return Array.from({length: countEntries(prefix, names)}, (_, i) => {
		const entryPrefix = `${prefix}.${i}.`;
		let entry = parseFields(section.fields, entryPrefix, sent);
		for (const list of section.lists ?? []) {
			entry = setAt(entry, list.path, parseList(list, `${entryPrefix}${list.path}`, sent, names));
		}

		return entry;
	});
}

/** Reads the posted form; only fields that the form defines are taken over. */
export function parseDraft(params: URLSearchParams, version: number): Draft {
	const names = new Set<string>();
	// Looking names up in the parameters themselves takes a scan for each of many thousand fields.
	const sent: PostedFields = new Map(params);
	for (const name of sent.keys()) {
		for (let end = name.indexOf('.'); end !== -1; end = name.indexOf('.', end + 1)) {
			names.add(name.slice(0, end));
		}
	}

	let draft = setAt(parseFields(documentFields, '', sent), 'version', version);
	for (const section of sections) {
		draft = setAt(draft, section.path, parseList(section, section.path, sent, names));
	}

	return draft as Draft;
}

/** Finds the description of a list by its path in the draft, which may lead through an entry. */
export function findSection(path: string): FormSection | undefined {
	const nested = /^(?<parent>.+)\.\d+\.(?<child>\w+)$/v.exec(path)?.groups;
	const lists = nested ? sections.find(section => section.path === nested.parent)?.lists : sections;
	return lists?.find(section => section.path === (nested?.child ?? path));
}

/** Adds an entry at the end of a list. */
export function addEntry(draft: Draft, path: string, more: Readonly<Record<string, unknown>> = {}): Draft {
	const section = findSection(path);
	const parent = path.slice(0, Math.max(0, path.lastIndexOf('.')));
	const hasParent = !/\d$/v.test(parent) || getAt(draft, parent) !== undefined;
	return section && hasParent ? setAt(draft, path, [...getEntries(draft, path), {...section.initial, ...more}]) as Draft : draft;
}

/** Removes the entry at a path that ends in its index. */
export function removeEntry(draft: Draft, path: string): Draft {
	const dot = path.lastIndexOf('.');
	const list = path.slice(0, dot);
	const index = Number(path.slice(dot + 1));
	return findSection(list) && index in getEntries(draft, list) ? setAt(draft, list, getEntries(draft, list).filter((_, i) => i !== index)) as Draft : draft;
}
