import type {core, z} from 'zod';

/**
 * Largest number of values that a schema validates at once. A schema collects every fault, which takes seconds for a message of MAX_MESSAGE_VALUES faults;
 * in parts, validation ends with the first part that has a fault.
 */
export const MAX_PART_VALUES = 512;

/** A fault of a value; its path starts at the value that was parsed. */
export type PartFault = core.$ZodIssue;

type ParseResult = {readonly data: unknown} | {readonly faults: readonly PartFault[]};
type PlainObject = Readonly<Record<string, unknown>>;

function isPlainObject(value: unknown): value is PlainObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value) && !ArrayBuffer.isView(value);
}

function getChildren(value: unknown): readonly unknown[] {
	if (Array.isArray(value)) {
		return value;
	}

	return isPlainObject(value) ? Object.values(value) : [];
}

/** Returns the containers of a value, each before those inside it. Values may be nested deeper than the stack allows recursion. */
function listContainers(root: unknown): ReadonlyArray<readonly [container: unknown, parent: number]> {
	const containers: Array<readonly [container: unknown, parent: number]> = [[root, -1]];
	// The list grows while it is read.
	for (const [index, [container]] of containers.entries()) {
		for (const child of getChildren(container)) {
			if (typeof child === 'object' && child !== null) {
				containers.push([child, index]);
			}
		}
	}

	return containers;
}

/** Returns the containers with more than `maxPartValues` values, themselves included. */
function findLargeContainers(root: unknown, maxPartValues: number): ReadonlySet<unknown> {
	const containers = listContainers(root);
	const counts = containers.map(([container]) => 1 + getChildren(container).length);
	const large = new Set<unknown>();
	for (let i = containers.length - 1; i >= 0; i--) {
		const [container, parent] = containers[i] ?? [undefined, -1];
		const count = counts[i] ?? 0;
		if (parent >= 0) {
			// The container itself is already counted in its parent.
			counts[parent] = (counts[parent] ?? 0) + count - 1;
		}

		if (count > maxPartValues) {
			large.add(container);
		}
	}

	return large;
}

/** Validates a value at once. */
export function parseWhole(schema: core.$ZodType, value: unknown): ParseResult {
	const parsed = (schema as z.ZodType).safeParse(value);
	return parsed.success ? {data: parsed.data} : {faults: parsed.error.issues};
}

/** Validates a value against a schema, large values part by part. Returns the same data as the schema, or the faults of the first part that has some. */
export function parseInParts(schema: core.$ZodType, value: unknown, maxPartValues = MAX_PART_VALUES): ParseResult {
	return parseValue(schema, value, findLargeContainers(value, maxPartValues));
}

function parseValue(schema: core.$ZodType, value: unknown, large: ReadonlySet<unknown>): ParseResult {
	const result = large.has(value) ? parseContainer(schema as core.$ZodTypes, value, large) : undefined;
	return result && ('faults' in result || !hasContainerChecks(schema as core.$ZodTypes)) ? result : parseWhole(schema, value);
}

/** Whether a schema has checks on the container besides those on its items; validating it at once afterwards adds a few faults at most. */
function hasContainerChecks({_zod: {def}}: core.$ZodTypes): boolean {
	return Boolean(def.checks?.length) || (def.type === 'object' && def.catchall !== undefined);
}

/** Validates the items of a container; returns undefined for schemas and values that are not validated in parts. */
function parseContainer(schema: core.$ZodTypes, value: unknown, large: ReadonlySet<unknown>): ParseResult | undefined {
	const {def} = schema._zod;
	switch (def.type) {
		case 'array': {
			return Array.isArray(value) ? parseList(value, () => def.element, large) : undefined;
		}

		case 'tuple': {
			const {items, rest} = def;
			const hasValidLength = Array.isArray(value) && value.length >= items.length && (rest !== null || value.length === items.length);
			return hasValidLength ? parseList(value, index => items[index] ?? rest!, large) : undefined;
		}

		case 'object': {
			return isPlainObject(value) ? parseFields(value, Object.entries(def.shape), large) : undefined;
		}

		case 'record': {
			const {keyType, valueType} = def;
			const hasPlainStringKeys = keyType._zod.def.type === 'string' && !keyType._zod.def.checks?.length;
			return isPlainObject(value) && hasPlainStringKeys ? parseFields(value, Object.keys(value).map(key => [key, valueType]), large) : undefined;
		}

		case 'optional':
		case 'default':
		case 'nullable': {
			return parseValue(def.innerType, value, large);
		}

		case 'union': {
			return parseUnion(def.options, value, large);
		}

		default: {
			return undefined;
		}
	}
}

function addPath(key: PropertyKey, faults: readonly PartFault[]): ParseResult {
	return {faults: faults.map(fault => ({...fault, path: [key, ...fault.path]}))};
}

function parseList(value: readonly unknown[], getSchema: (index: number) => core.$ZodType, large: ReadonlySet<unknown>): ParseResult {
	const data: unknown[] = [];
	for (const [index, item] of value.entries()) {
		const result = parseValue(getSchema(index), item, large);
		if ('faults' in result) {
			return addPath(index, result.faults);
		}

		data.push(result.data);
	}

	return {data};
}

function parseFields(value: PlainObject, shape: ReadonlyArray<readonly [string, core.$ZodType]>, large: ReadonlySet<unknown>): ParseResult {
	const data: Array<[string, unknown]> = [];
	for (const [key, schema] of shape) {
		const result = parseValue(schema, value[key], large);
		if ('faults' in result) {
			return addPath(key, result.faults);
		}

		if (result.data !== undefined || Object.hasOwn(value, key)) {
			data.push([key, result.data]);
		}
	}

	return {data: Object.fromEntries(data)};
}

function parseUnion(options: readonly core.$ZodType[], value: unknown, large: ReadonlySet<unknown>): ParseResult {
	let faults: readonly PartFault[] = [];
	for (const option of options) {
		const result = parseValue(option, value, large);
		if ('data' in result) {
			return result;
		}

		// The option whose fault lies deepest is most likely the intended one.
		if ((result.faults[0]?.path.length ?? 0) >= (faults[0]?.path.length ?? 0)) {
			({faults} = result);
		}
	}

	return {faults};
}
