import {Buffer} from 'node:buffer';
import {createReadStream} from 'node:fs';
import {
	mkdir, open, readFile, type FileHandle,
} from 'node:fs/promises';
import path from 'node:path';
import type {EvidenceLine} from './evidence-chain.js';

/** Where an evidence log keeps its lines and its head. */
export abstract class EvidenceStorage {
	/** Appends text; it is durable once this resolves. */
	abstract append(text: string): Promise<void>;
	/** Cuts a torn tail off; durable once this resolves. */
	abstract truncate(bytes: number): Promise<void>;
	/** Reads lines from a byte position that starts a line. */
	abstract readLines(fromByte: number): AsyncIterable<EvidenceLine>;
	/** Replaces the head; durable once this resolves. */
	abstract writeHead(text: string): Promise<void>;
	abstract readHead(): Promise<string | undefined>;
	abstract close(): Promise<void>;
}

const NEWLINE = 0x0A;

/** Name of the file that holds the head of an evidence file. */
export function getHeadFile(file: string): string {
	return `${file}.head`;
}

/** Splits a file at newlines only; the line reader of Node would also split at other separators that JSON text may hold. */
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

/** Reads the head file of an evidence file; undefined when there is none. */
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

/** Keeps evidence in a file of the data directory. */
export class FileEvidenceStorage extends EvidenceStorage {
	/** Opens the file, creating it and its folder durably when they are missing. */
	static async open(file: string): Promise<FileEvidenceStorage> {
		const folder = path.dirname(file);
		await mkdir(folder, {recursive: true});
		const lines = await open(file, 'a');
		const head = await open(getHeadFile(file), 'a+');
		await head.close();
		const writableHead = await open(getHeadFile(file), 'r+');
		const handle = await open(folder);
		try {
			await handle.sync();
		} finally {
			await handle.close();
		}

		return new FileEvidenceStorage(file, lines, writableHead);
	}

	private constructor(readonly file: string, private readonly lines: FileHandle, private readonly head: FileHandle) {
		super();
	}

	async append(text: string): Promise<void> {
		await this.lines.appendFile(text);
		await this.lines.datasync();
	}

	async truncate(bytes: number): Promise<void> {
		await this.lines.truncate(bytes);
		await this.lines.sync();
	}

	readLines(fromByte: number): AsyncIterable<EvidenceLine> {
		return readFileLines(this.file, fromByte);
	}

	async writeHead(text: string): Promise<void> {
		await this.head.write(text, 0);
		await this.head.datasync();
	}

	async readHead(): Promise<string | undefined> {
		return readHeadFile(this.file);
	}

	async close(): Promise<void> {
		await this.lines.close();
		await this.head.close();
	}
}
