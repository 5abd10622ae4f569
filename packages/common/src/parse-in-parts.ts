import type {core, z} from 'zod';

/**
 * Values that a schema reads at once. It notes every fault of what it reads, which takes seconds when a message of MAX_MESSAGE_VALUES consists of faults;
 * in parts, reading ends with the first part that has one.
 */
export const MAX_PART_VALUES = 512;

/** A fault of a value, and where it lies. */
export type PartFault = {readonly path: readonly PropertyKey[]; readonly message: string};

type Part = {readonly data: unknown} | {readonly faults: readonly PartFault[]};
type Fields = Readonly<Record<string, unknown>>;

function isFields(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value) && !ArrayBuffer.isView(value);
}

function getInner(value: unknown): readonly unknown[] {
	if (Array.isArray(value)) {
		return value;
	}

	return isFields(value) ? Object.values(value) : [];
}

/** Adds the containers that hold more than `partValues` values, themselves included, and tells how many this one holds. */
function collectLarge(value: unknown, partValues: number, large: Set<unknown>): number {
	let count = 1;
	for (const one of getInner(value)) {
		count += collectLarge(one, partValues, large);
	}

	if (count > partValues) {
		large.add(value);
	}

	return count;
}

/** Reads a value at once. */
export function parseWhole(schema: core.$ZodType, value: unknown): Part {
	const parsed = (schema as z.ZodType).safeParse(value);
	return parsed.success ? {data: parsed.data} : {faults: parsed.error.issues};
}

/** Reads a value against a schema, a large one part by part; gives the same data as the schema, and the faults of the first part that has some. */
export function parseInParts(schema: core.$ZodType, value: unknown, partValues = MAX_PART_VALUES): Part {
	const large = new Set<unknown>();
	collectLarge(value, partValues, large);
	return readPart(schema, value, large);
}

function readPart(schema: core.$ZodType, value: unknown, large: ReadonlySet<unknown>): Part {
	const part = large.has(value) ? readContainer(schema as core.$ZodTypes, value, large) : undefined;
	return part && ('faults' in part || !hasMoreToSay(schema as core.$ZodTypes)) ? part : parseWhole(schema, value);
}

/** Whether a schema says more about a value than about its parts; that adds a few faults at most. */
function hasMoreToSay({_zod: {def}}: core.$ZodTypes): boolean {
	return Boolean(def.checks?.length) || (def.type === 'object' && def.catchall !== undefined);
}

/** Reads what is within a container; undefined for what only the schema itself can read. */
function readContainer(schema: core.$ZodTypes, value: unknown, large: ReadonlySet<unknown>): Part | undefined {
	const {def} = schema._zod;
	switch (def.type) {
		case 'array': {
			return Array.isArray(value) ? readList(value, () => def.element, large) : undefined;
		}

		case 'tuple': {
			const {items, rest} = def;
			const isSized = Array.isArray(value) && value.length >= items.length && (rest !== null || value.length === items.length);
			return isSized ? readList(value, index => items[index] ?? rest!, large) : undefined;
		}

		case 'object': {
			return isFields(value) ? readFields(value, Object.entries(def.shape), large) : undefined;
		}

		case 'record': {
			const {keyType, valueType} = def;
			const isOfStrings = keyType._zod.def.type === 'string' && !keyType._zod.def.checks?.length;
			return isFields(value) && isOfStrings ? readFields(value, Object.keys(value).map(key => [key, valueType]), large) : undefined;
		}

		case 'optional':
		case 'default':
		case 'nullable': {
			return readPart(def.innerType, value, large);
		}

		case 'union': {
			return readUnion(def.options, value, large);
		}

		default: {
			return undefined;
		}
	}
}

function addPath(key: PropertyKey, faults: readonly PartFault[]): Part {
	return {faults: faults.map(({path, message}) => ({path: [key, ...path], message}))};
}

function readList(value: readonly unknown[], getSchema: (index: number) => core.$ZodType, large: ReadonlySet<unknown>): Part {
	const data: unknown[] = [];
	for (const [index, one] of value.entries()) {
		const part = readPart(getSchema(index), one, large);
		if ('faults' in part) {
			return addPath(index, part.faults);
		}

		data.push(part.data);
	}

	return {data};
}

function readFields(value: Fields, shape: ReadonlyArray<readonly [string, core.$ZodType]>, large: ReadonlySet<unknown>): Part {
	const data: Array<[string, unknown]> = [];
	for (const [key, schema] of shape) {
		const part = readPart(schema, value[key], large);
		if ('faults' in part) {
			return addPath(key, part.faults);
		}

		if (part.data !== undefined || Object.hasOwn(value, key)) {
			data.push([key, part.data]);
		}
	}

	return {data: Object.fromEntries(data)};
}

function readUnion(options: readonly core.$ZodType[], value: unknown, large: ReadonlySet<unknown>): Part {
	let faults: readonly PartFault[] = [];
	for (const option of options) {
		const part = readPart(option, value, large);
		if ('data' in part) {
			return part;
		}

		// The deepest fault comes from the option that was meant.
		if ((part.faults[0]?.path.length ?? 0) >= (faults[0]?.path.length ?? 0)) {
			({faults} = part);
		}
	}

	return {faults};
}
