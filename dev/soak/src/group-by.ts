/** Groups values by a name. */
export function groupBy<T>(values: readonly T[], getName: (value: T) => string): ReadonlyMap<string, readonly T[]> {
	const groups = new Map<string, T[]>();
	for (const value of values) {
		const name = getName(value);
		const group = groups.get(name) ?? [];
		group.push(value);
		groups.set(name, group);
	}

	return groups;
}
