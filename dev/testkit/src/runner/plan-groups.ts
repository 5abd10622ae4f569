/** A test file with its size, by which longer runs are started first. */
export type TestFile = {readonly file: string; readonly bytes: number};

/** Folder of the packages whose tests start no processes. */
const PACKAGES_FOLDER = 'packages/';

function getGroupName(file: string): string {
	return file.startsWith(PACKAGES_FOLDER) ? file.split('/').slice(0, 2).join('/') : file;
}

/** Groups test files for one process each: all of a package together, and each file alone that starts processes of its own. Larger groups come first. */
export function planGroups(files: readonly TestFile[]): ReadonlyArray<readonly string[]> {
	const groups = new Map<string, TestFile[]>();
	for (const file of files) {
		const name = getGroupName(file.file);
		groups.set(name, [...groups.get(name) ?? [], file]);
	}

	const getBytes = (group: readonly TestFile[]): number => group.reduce((sum, {bytes}) => sum + bytes, 0);
	return [...groups.values()].toSorted((a, b) => getBytes(b) - getBytes(a)).map(group => group.map(({file}) => file).toSorted());
}
