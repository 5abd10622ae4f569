import {
	mkdir, open, readFile, rename, rm, type FileHandle,
} from 'node:fs/promises';
import path from 'node:path';

/** An open file that is written only at its end. */
export abstract class AppendFile {
	abstract append(bytes: Uint8Array): Promise<void>;
	abstract truncate(length: number): Promise<void>;
	abstract sync(): Promise<void>;
	abstract close(): Promise<void>;
}

/** The file operations that durable storage needs; tests replace it to fail, fill or tear them. */
export abstract class FileSystem {
	/** Returns undefined when the file does not exist. */
	abstract readFile(file: string): Promise<Uint8Array | undefined>;
	/** Opens a file for appending and creates it when missing. */
	abstract openFile(file: string): Promise<AppendFile>;
	abstract rename(from: string, to: string): Promise<void>;
	/** Succeeds when the file does not exist. */
	abstract remove(file: string): Promise<void>;
	abstract makeFolder(folder: string): Promise<void>;
	/** Makes created, renamed and removed names of a folder durable. */
	abstract syncFolder(folder: string): Promise<void>;
}

/** Makes created, renamed and removed names of a folder durable. */
export async function syncFolder(folder: string): Promise<void> {
	const handle = await open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
}

class NodeAppendFile extends AppendFile {
	constructor(private readonly handle: FileHandle) {
		super();
	}

	async append(bytes: Uint8Array): Promise<void> {
		await this.handle.appendFile(bytes);
	}

	async truncate(length: number): Promise<void> {
		await this.handle.truncate(length);
	}

	async sync(): Promise<void> {
		await this.handle.datasync();
	}

	async close(): Promise<void> {
		await this.handle.close();
	}
}

function isNotFoundError(err: unknown): boolean {
	return err instanceof Error && 'code' in err && err.code === 'ENOENT';
}

/** The file system of the operating system. */
export class NodeFileSystem extends FileSystem {
	async readFile(file: string): Promise<Uint8Array | undefined> {
		try {
			return await readFile(file);
		} catch (err: unknown) {
			if (isNotFoundError(err)) {
				return undefined;
			}

			throw err;
		}
	}

	async openFile(file: string): Promise<AppendFile> {
		return new NodeAppendFile(await open(file, 'a'));
	}

	async rename(from: string, to: string): Promise<void> {
		await rename(from, to);
	}

	async remove(file: string): Promise<void> {
		await rm(file, {force: true});
	}

	async makeFolder(folder: string): Promise<void> {
		await mkdir(folder, {recursive: true});
	}

	async syncFolder(folder: string): Promise<void> {
		await syncFolder(folder);
	}
}

/** Replaces a file so that a crash leaves either the old or the new content. */
export async function replaceFile(fileSystem: FileSystem, file: string, temporaryFile: string, bytes: Uint8Array): Promise<void> {
	// A leftover of an earlier crash must not stay in front of the new content.
	await fileSystem.remove(temporaryFile);
	const opened = await fileSystem.openFile(temporaryFile);
	try {
		await opened.append(bytes);
		await opened.sync();
	} finally {
		await opened.close();
	}

	await fileSystem.rename(temporaryFile, file);
	await fileSystem.syncFolder(path.dirname(file));
}
