import {readdir, stat} from 'node:fs/promises';
import path from 'node:path';
import type {TestFile} from './plan-groups.js';

async function listFolder(folder: string): Promise<readonly string[]> {
	try {
		return await readdir(folder, {recursive: true});
	} catch {
		// A package may have no tests.
		return [];
	}
}

/** Expands a folder such as `packages/STAR/tests`, where STAR stands for any one folder. */
async function expandFolder(folder: string): Promise<readonly string[]> {
	const [parent = '', rest] = folder.split('/*/', 2);
	if (rest === undefined) {
		return [folder];
	}

	const names = await readdir(parent);
	return names.map(name => `${parent}/${name}/${rest}`);
}

async function describeFile(file: string): Promise<TestFile> {
	const {size} = await stat(file);
	return {file, bytes: size};
}

/** Lists the files that a pattern of the settings names, which ends with a suffix in any depth below its folder. */
export async function listFiles(pattern: string): Promise<readonly TestFile[]> {
	const [folder = '', suffix = ''] = pattern.split('/**/*', 2);
	const folders = await expandFolder(folder);
	const names = await Promise.all(folders.map(async found => {
		const files = await listFolder(found);
		return files.filter(file => file.endsWith(suffix)).map(file => path.posix.join(found, file));
	}));
	return Promise.all(names.flat().toSorted().map(async file => describeFile(file)));
}
