import {Buffer} from 'node:buffer';
import {FileLogStorage, type FileSystem, type LogEntry} from '../../src/index.js';

export const folder = '/memory';

export function createEntries(fromIndex: number, count: number, term = 1): readonly LogEntry[] {
	return Array.from({length: count}, (_, i) => ({
		index: fromIndex + i, term, kind: 'command' as const, data: Buffer.from(`change ${fromIndex + i}`),
	}));
}

export function describeLog(storage: FileLogStorage): unknown {
	const entries = storage.read(1, storage.getLastIndex());
	return {base: storage.getBase(), entries: entries.map(entry => `${entry.index}@${entry.term} ${Buffer.from(entry.data).toString()}`)};
}

export async function reopen(fileSystem: FileSystem, ofFolder = folder): Promise<FileLogStorage> {
	const storage = new FileLogStorage({folder: ofFolder, fileSystem});
	await storage.open();
	return storage;
}

export async function catchError(action: Promise<unknown>): Promise<Error | undefined> {
	try {
		await action;
		return undefined;
	} catch (err: unknown) {
		return err as Error;
	}
}
