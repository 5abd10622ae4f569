/** Groups entries by a key; groups and their entries keep the order of the input. */
export function groupBy<Entry>(entries: readonly Entry[], getKey: (entry: Entry) => string): ReadonlyMap<string, readonly Entry[]> {
	const groups = new Map<string, Entry[]>();
	for (const entry of entries) {
		const key = getKey(entry);
		const group = groups.get(key);
		if (group) {
			group.push(entry);
		} else {
			groups.set(key, [entry]);
		}
	}

	return groups;
}
