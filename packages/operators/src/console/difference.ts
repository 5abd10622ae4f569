/** One field that differs between two documents. */
export type Difference = {readonly path: string; readonly before?: string; readonly after?: string};

type ObjectValue = Readonly<Record<string, unknown>>;

function isObjectValue(value: unknown): value is ObjectValue {
	return typeof value === 'object' && value !== null;
}

function getEntryKey(entry: unknown, i: number): string {
	if (!isObjectValue(entry)) {
		return String(i);
	}

	const {id, path, model, target} = entry;
	const parts = [id ?? path ?? model, target].filter(part => typeof part === 'string');
	return parts.length > 0 ? parts.join(' on ') : String(i);
}

/** Returns the children of a value by the name under which a path shows them. */
function getChildren(value: unknown): ReadonlyMap<string, unknown> {
	if (Array.isArray(value)) {
		return new Map(value.map((entry, i) => [`[${getEntryKey(entry, i)}]`, entry]));
	}

	return new Map(isObjectValue(value) ? Object.entries(value).map(([key, child]) => [`.${key}`, child]) : []);
}

function formatValue(value: unknown): string | undefined {
	return value === undefined || isObjectValue(value) ? undefined : JSON.stringify(value);
}

function compare(before: unknown, after: unknown, path: string): readonly Difference[] {
	if (before === after) {
		return [];
	}

	const old = formatValue(before);
	const young = formatValue(after);
	const oldChildren = getChildren(before);
	const youngChildren = getChildren(after);
	const names = new Set([...oldChildren.keys(), ...youngChildren.keys()]);
	return [
		...(old === young ? [] : [{path, before: old, after: young}]),
		...[...names].flatMap(name => compare(oldChildren.get(name), youngChildren.get(name), `${path}${name}`)),
	];
}

/** Lists the fields that differ; entries of lists are matched by what identifies them, not by their place. */
export function getDifferences(before: unknown, after: unknown): readonly Difference[] {
	return compare(before, after, '').map(difference => ({...difference, path: difference.path.replace(/^\./v, '')}));
}
