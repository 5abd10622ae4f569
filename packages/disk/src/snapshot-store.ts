import path from 'node:path';
import {createCodec} from '@egretrill/common';
import {SNAPSHOT_FILE, TEMPORARY_SUFFIX} from './constants.js';
import {claimSpace, NoSpaceError, StorageFailedError} from './errors.js';
import {type FileSystem, NodeFileSystem, replaceFile} from './file-system.js';
import {decodeSingleRecord, encodeRecord} from './records.js';
import {Snapshot} from './types.js';

const snapshotCodec = createCodec(Snapshot);

/** Stores the latest snapshot in one checksummed file that is replaced atomically. */
export class SnapshotStore {
	private readonly folder: string;
	private readonly fileSystem: FileSystem;

	constructor(opts: {folder: string; fileSystem?: FileSystem}) {
		this.folder = opts.folder;
		this.fileSystem = opts.fileSystem ?? new NodeFileSystem();
	}

	/** Returns undefined if no snapshot was saved; throws CorruptionError if its checksum does not match. */
	async load(): Promise<Snapshot | undefined> {
		const bytes = await this.fileSystem.readFile(path.join(this.folder, SNAPSHOT_FILE));
		return bytes === undefined ? undefined : decodeSingleRecord(snapshotCodec, SNAPSHOT_FILE, bytes);
	}

	/** Resolves once the snapshot is synced; throws a NoSpaceError and keeps the previous one if the disk has no room. */
	async save(snapshot: Snapshot): Promise<void> {
		const file = path.join(this.folder, SNAPSHOT_FILE);
		try {
			await claimSpace(async () => this.fileSystem.makeFolder(this.folder));
			await replaceFile(this.fileSystem, file, file + TEMPORARY_SUFFIX, encodeRecord(snapshotCodec, snapshot));
		} catch (err: unknown) {
			if (err instanceof NoSpaceError) {
				throw err;
			}

			throw new StorageFailedError(`The snapshot in ${this.folder} could not be written.`, {cause: err});
		}
	}
}
