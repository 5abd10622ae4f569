import {Buffer} from 'node:buffer';
import {createReadStream} from 'node:fs';
import {
	mkdir, open, readFile, type FileHandle,
} from 'node:fs/promises';
import path from 'node:path';
import {claimSpace} from '@egretrill/disk';
import type {EvidenceLine} from './evidence-chain.js';

/** Stores the lines and the head of an evidence log. */
export abstract class EvidenceStorage {
	/** Appends text; durable once this resolves. Throws a NoSpaceError if the disk has no room, after which a part may be stored. */
	abstract append(text: string): Promise<void>;
	/** Truncates to a length, which drops an incomplete last line; durable once this resolves. */
	abstract truncate(bytes: number): Promise<void>;
	/** Reads lines from `fromByte`, which must be the start of a line. */
	abstract readLines(fromByte: number): AsyncIterable<EvidenceLine>;
	/** Replaces the head; durable once this resolves. */
	abstract writeHead(text: string): Promise<void>;
	abstract readHead(): Promise<string | undefined>;
	abstract close(): Promise<void>;
}

const NEWLINE = 0x0A;

/** Path of the head file that belongs to an evidence file. */
export function getHeadFile(file: string): string {
	return `${file}.head`;
}

/** Reads the lines of a file, split at newlines only: Node's readline also splits at other separators, which JSON strings may contain. */
export async function * readFileLines(file: string, fromByte = 0): AsyncGenerator<EvidenceLine> {
	let rest = Buffer.alloc(0);
	for await (const chunk of createReadStream(file, {start: fromByte}) as AsyncIterable<Uint8Array>) {
		rest = Buffer.concat([rest, chunk]);
		let start = 0;
		for (let end = rest.indexOf(NEWLINE); end !== -1; end = rest.indexOf(NEWLINE, start)) {
			yield {text: rest.toString('utf8', start, end), bytes: end + 1 - start, isComplete: true};
			start = end + 1;
		}

		rest = rest.subarray(start);
	}

	if (rest.length > 0) {
		yield {text: rest.toString('utf8'), bytes: rest.length, isComplete: false};
	}
}

/** Reads the head file of an evidence file; undefined when it does not exist. */
export async function readHeadFile(file: string): Promise<string | undefined> {
	try {
		return await readFile(getHeadFile(file), 'utf8');
	} catch (err: unknown) {
		if ((err as NodeJS.ErrnoException).code === 'ENOENT') {
			return undefined;
		}

		throw err;
	}
}

/** Stores evidence in a file of the data directory. */
export class FileEvidenceStorage extends EvidenceStorage {
	/** Opens the evidence file and its head file; creates missing files and their folder, and syncs the folder so that they survive a crash. */
	static async open(file: string): Promise<FileEvidenceStorage> {
		const folder = path.dirname(file);
		await mkdir(folder, {recursive: true});
		const linesFile = await open(file, 'a');
		const createdHead = await open(getHeadFile(file), 'a+');
		await createdHead.close();
		const headFile = await open(getHeadFile(file), 'r+');
		const folderHandle = await open(folder);
		try {
			await folderHandle.sync();
		} finally {
			await folderHandle.close();
		}

		return new FileEvidenceStorage(file, linesFile, headFile);
	}

	private constructor(readonly file: string, private readonly linesFile: FileHandle, private readonly headFile: FileHandle) {
		super();
	}

	async append(text: string): Promise<void> {
		await claimSpace(async () => this.linesFile.appendFile(text));
		await this.linesFile.datasync();
	}

	async truncate(bytes: number): Promise<void> {
		await this.linesFile.truncate(bytes);
		await this.linesFile.sync();
	}

	readLines(fromByte: number): AsyncIterable<EvidenceLine> {
		return readFileLines(this.file, fromByte);
	}

	async writeHead(text: string): Promise<void> {
		await this.headFile.write(text, 0);
		await this.headFile.datasync();
	}

	async readHead(): Promise<string | undefined> {
		return readHeadFile(this.file);
	}

	async close(): Promise<void> {
		await this.linesFile.close();
		await this.headFile.close();
	}
}
