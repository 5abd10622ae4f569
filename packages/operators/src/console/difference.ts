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

/** Returns the children of a value by their segment in the path of a difference. */
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

	const textBefore = formatValue(before);
	const textAfter = formatValue(after);
	const childrenBefore = getChildren(before);
	const childrenAfter = getChildren(after);
	const segments = new Set([...childrenBefore.keys(), ...childrenAfter.keys()]);
	return [
		...(textBefore === textAfter ? [] : [{path, before: textBefore, after: textAfter}]),
		...[...segments].flatMap(segment => compare(childrenBefore.get(segment), childrenAfter.get(segment), `${path}${segment}`)),
	];
}

/** Lists the fields that differ; list entries are matched by id, path, or model and target, and by index only if they have none of these. */
export function getDifferences(before: unknown, after: unknown): readonly Difference[] {
	return compare(before, after, '').map(difference => ({...difference, path: difference.path.replace(/^\./v, '')}));
}
