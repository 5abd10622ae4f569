import path from 'node:path';
import {createCodec} from '@egretrill/common';
import {SNAPSHOT_FILE, TEMPORARY_SUFFIX} from './constants.js';
import {StorageFailedError} from './errors.js';
import {type FileSystem, NodeFileSystem, replaceFile} from './file-system.js';
import {decodeSingleRecord, encodeRecord} from './records.js';
import {Snapshot} from './types.js';

const snapshotCodec = createCodec(Snapshot);

/** Keeps the newest snapshot in one checksummed file that is replaced as a whole. */
export class SnapshotStore {
	private readonly folder: string;
	private readonly fileSystem: FileSystem;

	constructor(opts: {folder: string; fileSystem?: FileSystem}) {
		this.folder = opts.folder;
		this.fileSystem = opts.fileSystem ?? new NodeFileSystem();
	}

	/** Returns undefined when none was saved; throws CorruptionError when it fails its checksum. */
	async load(): Promise<Snapshot | undefined> {
		const bytes = await this.fileSystem.readFile(path.join(this.folder, SNAPSHOT_FILE));
		return bytes === undefined ? undefined : decodeSingleRecord(snapshotCodec, SNAPSHOT_FILE, bytes);
	}

	/** Makes the snapshot durable before it resolves. */
	async save(snapshot: Snapshot): Promise<void> {
		const file = path.join(this.folder, SNAPSHOT_FILE);
		try {
			await this.fileSystem.makeFolder(this.folder);
			await replaceFile(this.fileSystem, file, file + TEMPORARY_SUFFIX, encodeRecord(snapshotCodec, snapshot));
		} catch (err: unknown) {
			throw new StorageFailedError(`The snapshot in ${this.folder} could not be written.`, {cause: err});
		}
	}
}
