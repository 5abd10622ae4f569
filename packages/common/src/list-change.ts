/** How a list of names has changed, short enough for a log line however long the list is. */
export type ListChange = {readonly added: readonly string[]; readonly removed: readonly string[]; readonly count: number};

/** Compares two lists of names whose order does not matter. */
export function compareLists(before: readonly string[], after: readonly string[]): ListChange {
	const known = new Set(before);
	const kept = new Set(after);
	return {added: after.filter(name => !known.has(name)), removed: before.filter(name => !kept.has(name)), count: after.length};
}
