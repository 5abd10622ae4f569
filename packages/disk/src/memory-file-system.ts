import path from 'node:path';
import type {Random} from '@egretrill/common';
import {AppendFile, FileSystem} from './file-system.js';

type MemoryFile = {content: Uint8Array; synced: Uint8Array};

function concat(first: Uint8Array, second: Uint8Array): Uint8Array {
	const joined = new Uint8Array(first.length + second.length);
	joined.set(first);
	joined.set(second, first.length);
	return joined;
}

class MemoryAppendFile extends AppendFile {
	constructor(private readonly file: MemoryFile) {
		super();
	}

	async append(bytes: Uint8Array): Promise<void> {
		this.file.content = concat(this.file.content, bytes);
	}

	async truncate(length: number): Promise<void> {
		this.file.content = this.file.content.slice(0, length);
	}

	async sync(): Promise<void> {
		this.file.synced = this.file.content;
	}

	async close(): Promise<void> {
		// There is no file descriptor to release.
	}
}

/** In-memory file system that simulates a crash: unsynced data and unsynced directory entries are lost. */
export class MemoryFileSystem extends FileSystem {
	private files = new Map<string, MemoryFile>();
	private syncedFiles = new Map<string, MemoryFile>();

	async readFile(file: string): Promise<Uint8Array | undefined> {
		return this.files.get(file)?.content;
	}

	async openFile(file: string): Promise<AppendFile> {
		const opened = this.files.get(file) ?? {content: new Uint8Array(), synced: new Uint8Array()};
		this.files.set(file, opened);
		return new MemoryAppendFile(opened);
	}

	async rename(from: string, to: string): Promise<void> {
		const file = this.files.get(from);
		if (file === undefined) {
			throw new Error(`${from} does not exist.`);
		}

		this.files.delete(from);
		this.files.set(to, file);
	}

	async remove(file: string): Promise<void> {
		this.files.delete(file);
	}

	async makeFolder(): Promise<void> {
		// Folders are implied by the paths of their files.
	}

	async syncFolder(folder: string): Promise<void> {
		const isElsewhere = ([name]: readonly [string, MemoryFile]): boolean => path.dirname(name) !== folder;
		const synced = [...this.files].filter(entry => !isElsewhere(entry));
		this.syncedFiles = new Map([...[...this.syncedFiles].filter(entry => isElsewhere(entry)), ...synced]);
	}

	/** Discards unsynced changes. A random prefix of unsynced appended bytes survives, which leaves a torn last record. */
	crash(random: Random): void {
		this.files = new Map([...this.syncedFiles].map(([name, file]) => {
			const isAppended = file.content.length > file.synced.length && file.synced.every((byte, i) => byte === file.content[i]);
			const unsynced = isAppended ? file.content.slice(file.synced.length) : new Uint8Array();
			const survived = concat(file.synced, unsynced.slice(0, Math.floor(random() * unsynced.length)));
			return [name, {content: survived, synced: survived}];
		}));
		this.syncedFiles = new Map(this.files);
	}
}
