import {Buffer} from 'node:buffer';
import path from 'node:path';
import {createCodec} from '@egretrill/common';
import {
	DAMAGED_SUFFIX, HARD_STATE_FILE, IDENTITY_FILE, LOG_FILE, SNAPSHOT_FILE, TEMPORARY_SUFFIX,
} from './constants.js';
import {
	claimSpace, CorruptionError, NoSpaceError, StorageFailedError,
} from './errors.js';
import {
	type AppendFile, type FileSystem, NodeFileSystem, replaceFile,
} from './file-system.js';
import {LogStorage} from './log-storage.js';
import {
	decodeFirstRecord, decodeRecords, decodeSingleRecord, encodeRecord,
} from './records.js';
import {
	HardState, Identity, LogEntry, LogPosition,
} from './types.js';

const baseCodec = createCodec(LogPosition);
const entryCodec = createCodec(LogEntry);
const hardStateCodec = createCodec(HardState);
const identityCodec = createCodec(Identity);

const EMPTY_BASE: LogPosition = {index: 0, term: 0};

type StoredEntry = {readonly entry: LogEntry; readonly startOffset: number};

/** Stores the log in a single file: one record with the compaction base, followed by one record per entry. */
export class FileLogStorage extends LogStorage {
	private readonly folder: string;
	private readonly fileSystem: FileSystem;
	private logFile: AppendFile | undefined;
	private base: LogPosition = EMPTY_BASE;
	private storedEntries: StoredEntry[] = [];
	private endOffset = 0;
	private failure: StorageFailedError | undefined;

	constructor(opts: {folder: string; fileSystem?: FileSystem}) {
		super();
		this.folder = opts.folder;
		this.fileSystem = opts.fileSystem ?? new NodeFileSystem();
	}

	async open(): Promise<void> {
		await this.close();
		await claimSpace(async () => this.fileSystem.makeFolder(this.folder));
		await this.fileSystem.syncFolder(path.dirname(this.folder));
		await this.removeTemporaryFiles();
		const bytes = await this.fileSystem.readFile(this.getPath(LOG_FILE));
		await this.runWrite(async () => {
			if (bytes === undefined) {
				await this.rewriteLog(EMPTY_BASE, []);
				return;
			}

			this.restoreLog(bytes);
			this.logFile = await this.fileSystem.openFile(this.getPath(LOG_FILE));
			if (bytes.length > this.endOffset) {
				await this.logFile.truncate(this.endOffset);
			}

			// A process that was killed may have left entries and file names that a loss of power would still undo.
			await this.logFile.sync();
			await this.fileSystem.syncFolder(this.folder);
		});
	}

	async close(): Promise<void> {
		await this.logFile?.close();
		this.logFile = undefined;
	}

	getBase(): LogPosition {
		return this.base;
	}

	getLastIndex(): number {
		return this.base.index + this.storedEntries.length;
	}

	getTerm(index: number): number | undefined {
		return index === this.base.index ? this.base.term : this.storedEntries[index - this.base.index - 1]?.entry.term;
	}

	read(fromIndex: number, toIndex: number): readonly LogEntry[] {
		const first = Math.max(0, fromIndex - this.base.index - 1);
		return this.storedEntries.slice(first, Math.max(first, toIndex - this.base.index)).map(stored => stored.entry);
	}

	async append(entries: readonly LogEntry[]): Promise<void> {
		const records = entries.map(entry => encodeRecord(entryCodec, entry));
		await this.runWrite(async () => {
			await this.appendBytes(Buffer.concat(records));
			this.trackEntries(entries, records);
		});
	}

	async truncateFrom(fromIndex: number): Promise<void> {
		const position = fromIndex - this.base.index - 1;
		const first = this.storedEntries[position];
		if (first === undefined) {
			return;
		}

		await this.runWrite(async () => {
			const logFile = this.getLogFile();
			await logFile.truncate(first.startOffset);
			await logFile.sync();
			this.storedEntries.length = position;
			this.endOffset = first.startOffset;
		});
	}

	async compact(upTo: LogPosition): Promise<void> {
		if (upTo.index < this.base.index) {
			return;
		}

		const retained = this.getTerm(upTo.index) === upTo.term ? this.read(upTo.index + 1, this.getLastIndex()) : [];
		await this.runWrite(async () => {
			await this.rewriteLog(upTo, retained);
		});
	}

	async loadHardState(): Promise<HardState> {
		const bytes = await this.fileSystem.readFile(this.getPath(HARD_STATE_FILE));
		if (bytes !== undefined) {
			return decodeSingleRecord(hardStateCodec, HARD_STATE_FILE, bytes);
		}

		if (this.getLastIndex() > 0) {
			throw new CorruptionError(HARD_STATE_FILE, 0, 'the file is missing although the log has entries');
		}

		return {term: 0, votedFor: null};
	}

	async saveHardState(hardState: HardState): Promise<void> {
		await this.replaceRecordFile(HARD_STATE_FILE, encodeRecord(hardStateCodec, hardState));
	}

	async loadIdentity(): Promise<Identity | undefined> {
		const bytes = await this.fileSystem.readFile(this.getPath(IDENTITY_FILE));
		return bytes === undefined ? undefined : decodeSingleRecord(identityCodec, IDENTITY_FILE, bytes);
	}

	async saveIdentity(identity: Identity): Promise<void> {
		await this.replaceRecordFile(IDENTITY_FILE, encodeRecord(identityCodec, identity));
	}

	async quarantine(): Promise<void> {
		await this.close();
		await this.runWrite(async () => {
			// The identity is moved first: without it the member cannot vote, whichever files a crash leaves in place.
			for (const name of [IDENTITY_FILE, HARD_STATE_FILE, SNAPSHOT_FILE, LOG_FILE]) {
				const file = this.getPath(name);
				if (await this.fileSystem.readFile(file) !== undefined) {
					await claimSpace(async () => this.fileSystem.rename(file, file + DAMAGED_SUFFIX));
					await this.fileSystem.syncFolder(this.folder);
				}
			}

			await this.rewriteLog(EMPTY_BASE, []);
		});
	}

	private getPath(name: string): string {
		return path.join(this.folder, name);
	}

	private getLogFile(): AppendFile {
		if (this.logFile === undefined) {
			throw new Error('The log storage is not open.');
		}

		return this.logFile;
	}

	/** Removes what an earlier process left unfinished, which may take the room that is needed. */
	private async removeTemporaryFiles(): Promise<void> {
		for (const name of [LOG_FILE, HARD_STATE_FILE, IDENTITY_FILE, SNAPSHOT_FILE]) {
			await this.fileSystem.remove(this.getPath(name) + TEMPORARY_SUFFIX);
		}
	}

	private async appendBytes(bytes: Uint8Array): Promise<void> {
		const logFile = this.getLogFile();
		try {
			await claimSpace(async () => logFile.append(bytes));
		} catch (err: unknown) {
			if (err instanceof NoSpaceError) {
				// A part may be written. An error here is no NoSpaceError and ends the storage.
				await logFile.truncate(this.endOffset);
				await logFile.sync();
			}

			throw err;
		}

		await logFile.sync();
	}

	private restoreLog(bytes: Uint8Array): void {
		const baseRecord = decodeFirstRecord(baseCodec, LOG_FILE, bytes);
		this.base = baseRecord.value;
		this.storedEntries = [];
		this.endOffset = baseRecord.endOffset;
		for (const record of decodeRecords(entryCodec, LOG_FILE, bytes, baseRecord.endOffset)) {
			const lastTerm = this.getTerm(this.getLastIndex()) ?? 0;
			if (record.value.index !== this.getLastIndex() + 1 || record.value.term < lastTerm) {
				throw new CorruptionError(LOG_FILE, this.endOffset, 'the entry does not continue the log');
			}

			this.storedEntries.push({entry: record.value, startOffset: this.endOffset});
			this.endOffset = record.endOffset;
		}
	}

	private trackEntries(entries: readonly LogEntry[], records: readonly Uint8Array[]): void {
		for (const [i, entry] of entries.entries()) {
			this.storedEntries.push({entry, startOffset: this.endOffset});
			this.endOffset += records[i]?.length ?? 0;
		}
	}

	private async rewriteLog(base: LogPosition, entries: readonly LogEntry[]): Promise<void> {
		const baseRecord = encodeRecord(baseCodec, base);
		const records = entries.map(entry => encodeRecord(entryCodec, entry));
		const file = this.getPath(LOG_FILE);
		// The old file stays open, since it remains the log if the disk has no room for the new one.
		await replaceFile(this.fileSystem, file, file + TEMPORARY_SUFFIX, Buffer.concat([baseRecord, ...records]));
		await this.close();
		this.logFile = await this.fileSystem.openFile(file);
		this.base = base;
		this.storedEntries = [];
		this.endOffset = baseRecord.length;
		this.trackEntries(entries, records);
	}

	private async replaceRecordFile(name: string, bytes: Uint8Array): Promise<void> {
		const file = this.getPath(name);
		await this.runWrite(async () => replaceFile(this.fileSystem, file, file + TEMPORARY_SUFFIX, bytes));
	}

	/**
	 * Runs an operation that writes to disk. After a failure the file contents are unknown, so every later write is rejected;
	 * after a NoSpaceError they are as before.
	 */
	private async runWrite(change: () => Promise<void>): Promise<void> {
		if (this.failure !== undefined) {
			throw this.failure;
		}

		try {
			await change();
		} catch (err: unknown) {
			if (err instanceof CorruptionError || err instanceof NoSpaceError) {
				throw err;
			}

			this.failure = new StorageFailedError(`The log in ${this.folder} could not be written.`, {cause: err});
			throw this.failure;
		}
	}
}
