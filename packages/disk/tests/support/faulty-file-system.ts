import {type AppendFile, MemoryFileSystem} from '../../src/index.js';
import {FaultyFile} from './faulty-file.js';

/**
 * Faults of a disk: `full` and `quota` write half of the bytes, `no-inode` creates no file, `no-name` renames none;
 * `full-sync` reports the full disk by the sync, and the last two fail when the half is cut off.
 */
export type Fault = 'sync' | 'write' | 'folder-sync' | 'full' | 'quota' | 'no-inode' | 'no-name' | 'full-sync' | 'full-truncate' | 'full-cut-sync' | undefined;

/** Creates an error as Node.js reports it for a failed system call. */
export function createSystemError(code: string, message: string): Error {
	return Object.assign(new Error(`${code}: ${message}`), {code});
}

export function createFullDiskError(): Error {
	return createSystemError('ENOSPC', 'no space left on device');
}

/** File system in memory that injects failed writes and syncs, and a full disk. */
export class FaultyFileSystem extends MemoryFileSystem {
	fault: Fault;

	override async syncFolder(folderToSync: string): Promise<void> {
		if (this.fault === 'folder-sync') {
			throw createSystemError('EIO', 'i/o error, fsync');
		}

		await super.syncFolder(folderToSync);
	}

	override async rename(from: string, to: string): Promise<void> {
		if (this.fault === 'no-name') {
			throw createFullDiskError();
		}

		await super.rename(from, to);
	}

	override async openFile(file: string): Promise<AppendFile> {
		if (this.fault === 'no-inode' && await this.readFile(file) === undefined) {
			throw createFullDiskError();
		}

		return new FaultyFile(await super.openFile(file), this);
	}
}
