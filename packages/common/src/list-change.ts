/** The difference between two versions of a list, which keeps log lines short even if the list is long. */
export type ListChange = {readonly added: readonly string[]; readonly removed: readonly string[]; readonly count: number};

/** Compares two lists of names whose order does not matter. */
export function compareLists(before: readonly string[], after: readonly string[]): ListChange {
	const beforeNames = new Set(before);
	const afterNames = new Set(after);
	return {added: after.filter(name => !beforeNames.has(name)), removed: before.filter(name => !afterNames.has(name)), count: after.length};
}
