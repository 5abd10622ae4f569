/** One field that differs between two documents. */
export type Difference = {readonly path: string; readonly before?: string; readonly after?: string};

function getIdentity(entry: unknown, i: number): string {
	if (typeof entry !== 'object' || entry === null) {
		return String(i);
	}

	const {id, path, model, target} = entry as Readonly<Record<string, unknown>>;
	const parts = [id ?? path ?? model, target].filter(part => typeof part === 'string');
	return parts.length > 0 ? parts.join(' on ') : String(i);
}

function flatten(value: unknown, path: string): ReadonlyArray<readonly [string, string]> {
	if (Array.isArray(value)) {
		return value.flatMap((entry, i) => flatten(entry, `${path}[${getIdentity(entry, i)}]`));
	}

	if (typeof value === 'object' && value !== null) {
		return Object.entries(value).flatMap(([key, child]) => flatten(child, path === '' ? key : `${path}.${key}`));
	}

	return value === undefined ? [] : [[path, JSON.stringify(value)]];
}

/** Lists the fields that differ; entries of lists are matched by what identifies them, not by their place. */
export function getDifferences(before: unknown, after: unknown): readonly Difference[] {
	const old = new Map(flatten(before, ''));
	const young = new Map(flatten(after, ''));
	const paths = [...new Set([...old.keys(), ...young.keys()])];
	return paths
		.filter(path => old.get(path) !== young.get(path))
		.map(path => ({path, before: old.get(path), after: young.get(path)}));
}
