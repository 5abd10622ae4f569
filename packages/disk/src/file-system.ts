import {
	mkdir, open, readFile, rename, rm, type FileHandle,
} from 'node:fs/promises';
import path from 'node:path';
import {claimSpace, NoSpaceError} from './errors.js';

/** An open append-only file. */
export abstract class AppendFile {
	abstract append(bytes: Uint8Array): Promise<void>;
	abstract truncate(length: number): Promise<void>;
	abstract sync(): Promise<void>;
	abstract close(): Promise<void>;
}

/** File operations used by durable storage; tests substitute implementations that inject I/O errors, a full disk and torn writes. */
export abstract class FileSystem {
	/** Returns undefined when the file does not exist. */
	abstract readFile(file: string): Promise<Uint8Array | undefined>;
	/** Opens a file for appending; creates it if it does not exist. */
	abstract openFile(file: string): Promise<AppendFile>;
	abstract rename(from: string, to: string): Promise<void>;
	/** Succeeds also when the file does not exist. */
	abstract remove(file: string): Promise<void>;
	abstract makeFolder(folder: string): Promise<void>;
	/** Syncs the directory, so that created, renamed and removed entries are durable. */
	abstract syncFolder(folder: string): Promise<void>;
}

/** Syncs the directory, so that created, renamed and removed entries are durable. */
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
		// Unlike appendFile, which writes 512 KiB at a time: after a loss of power the file could have the later part only.
		let written = 0;
		while (written < bytes.length) {
			const {bytesWritten} = await this.handle.write(bytes, written);
			written += bytesWritten;
		}
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

/** File operations of the operating system. */
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

async function writeNewFile(fileSystem: FileSystem, file: string, bytes: Uint8Array): Promise<void> {
	const opened = await claimSpace(async () => fileSystem.openFile(file));
	try {
		await claimSpace(async () => opened.append(bytes));
		await opened.sync();
	} finally {
		await opened.close();
	}
}

/**
 * Replaces a file atomically: after a crash it has either the old or the new content. On a full disk it keeps the old one,
 * and the room that the new one has taken is released.
 */
export async function replaceFile(fileSystem: FileSystem, file: string, temporaryFile: string, bytes: Uint8Array): Promise<void> {
	// The file is opened for appending, so a temporary file left by an earlier crash would precede the new content.
	await fileSystem.remove(temporaryFile);
	try {
		await writeNewFile(fileSystem, temporaryFile, bytes);
		await claimSpace(async () => fileSystem.rename(temporaryFile, file));
	} catch (err: unknown) {
		if (err instanceof NoSpaceError) {
			await fileSystem.remove(temporaryFile);
		}

		throw err;
	}

	await fileSystem.syncFolder(path.dirname(file));
}
