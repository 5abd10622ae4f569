import {
	documentFields, sections, type FormField, type FormSection,
} from './form-sections.js';

/** A document that is being edited in the form and may not be valid. */
export type Draft = Readonly<Record<string, unknown>>;
type Entry = Record<string, unknown>;
type PostedFields = ReadonlyMap<string, string>;

/** Returns the value at a dotted path. */
export function getAt(value: unknown, path: string): unknown {
	let current = value;
	for (const key of path.split('.')) {
		current = typeof current === 'object' && current !== null && Object.hasOwn(current, key) ? (current as Entry)[key] : undefined;
	}

	return current;
}

/** Returns a copy with the value at a dotted path replaced; missing parents are created as objects. */
export function setAt(value: unknown, path: string, replacement: unknown): unknown {
	const [key = '', ...rest] = path.split('.');
	const parent = typeof value === 'object' && value !== null ? value : {};
	const child = rest.length === 0 ? replacement : setAt((parent as Entry)[key], rest.join('.'), replacement);
	return Array.isArray(parent) ? parent.with(Number(key), child) : {...parent, [key]: child};
}

/** Returns the entries of a list of the draft, or an empty list if there is none at the path. */
export function getEntries(value: unknown, path: string): readonly unknown[] {
	const list = getAt(value, path);
	return Array.isArray(list) ? list : [];
}

function parseField(field: FormField, posted: string | undefined): unknown {
	if (field.kind === 'checkbox') {
		return posted !== undefined;
	}

	const trimmed = posted?.trim() ?? '';
	if (trimmed === '') {
		return undefined;
	}

	// Text that is not a number is kept, so that schema validation reports it at its field.
	const parsed = Number(trimmed);
	return field.kind === 'number' && Number.isFinite(parsed) ? parsed : trimmed;
}

function parseFields(fields: readonly FormField[], prefix: string, posted: PostedFields): unknown {
	let entry: unknown = {};
	for (const field of fields) {
		entry = setAt(entry, field.name, parseField(field, posted.get(`${prefix}${field.name}`)));
	}

	return entry;
}

function countEntries(prefix: string, pathPrefixes: ReadonlySet<string>): number {
	let count = 0;
	while (pathPrefixes.has(`${prefix}.${count}`)) {
		count++;
	}

	return count;
}

function parseList(section: FormSection, prefix: string, posted: PostedFields, pathPrefixes: ReadonlySet<string>): readonly unknown[] {
	return Array.from({length: countEntries(prefix, pathPrefixes)}, (_, i) => {
		const entryPrefix = `${prefix}.${i}.`;
		let entry = parseFields(section.fields, entryPrefix, posted);
		for (const list of section.lists ?? []) {
			entry = setAt(entry, list.path, parseList(list, `${entryPrefix}${list.path}`, posted, pathPrefixes));
		}

		return entry;
	});
}

/** Parses the posted form; fields that the form does not define are ignored. */
export function parseDraft(params: URLSearchParams, version: number): Draft {
	const pathPrefixes = new Set<string>();
	// `URLSearchParams` scans all parameters at each lookup, which is slow for a form of many thousand fields.
	const posted: PostedFields = new Map(params);
	for (const name of posted.keys()) {
		for (let end = name.indexOf('.'); end !== -1; end = name.indexOf('.', end + 1)) {
			pathPrefixes.add(name.slice(0, end));
		}
	}

	let draft = setAt(parseFields(documentFields, '', posted), 'version', version);
	for (const section of sections) {
		draft = setAt(draft, section.path, parseList(section, section.path, posted, pathPrefixes));
	}

	return draft as Draft;
}

/** Finds the form section of a list by its path in the draft; a nested list has the index of its parent entry in its path. */
export function findSection(path: string): FormSection | undefined {
	const nested = /^(?<parent>.+)\.\d+\.(?<child>\w+)$/v.exec(path)?.groups;
	const lists = nested ? sections.find(section => section.path === nested.parent)?.lists : sections;
	return lists?.find(section => section.path === (nested?.child ?? path));
}

/** Appends an entry with the section's initial values to a list; `values` overrides them. */
export function addEntry(draft: Draft, path: string, values: Readonly<Record<string, unknown>> = {}): Draft {
	const section = findSection(path);
	const parent = path.slice(0, Math.max(0, path.lastIndexOf('.')));
	const hasParent = !/\d$/v.test(parent) || getAt(draft, parent) !== undefined;
	return section && hasParent ? setAt(draft, path, [...getEntries(draft, path), {...section.initial, ...values}]) as Draft : draft;
}

/** Removes the entry at a path that ends in its index. */
export function removeEntry(draft: Draft, path: string): Draft {
	const dotIndex = path.lastIndexOf('.');
	const listPath = path.slice(0, dotIndex);
	const index = Number(path.slice(dotIndex + 1));
	return findSection(listPath) && index in getEntries(draft, listPath) ? setAt(draft, listPath, getEntries(draft, listPath).filter((_, i) => i !== index)) as Draft : draft;
}
