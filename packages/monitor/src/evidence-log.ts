import {NoSpaceError} from '@egretrill/disk';
import {PAGE_INDEX_STEP} from './constants.js';
import {
	createLine, formatHead, isBrokenLink, parseLine, type HashedEntry,
} from './evidence-chain.js';
import {
	EvidenceRecord, type BrokenLink, type EvidenceHead, type EvidencePage, type Verification,
} from './types.js';
import type {EvidenceStorage} from './evidence-storage.js';
import {parseAnchors, createUnreadableHeadResult, verifyLines} from './verify-evidence.js';

/** Thrown when a record cannot be written or the chain of the file is broken. */
export class EvidenceError extends Error {
	override readonly name = 'EvidenceError';

	constructor(message: string, readonly link?: BrokenLink, opts?: ErrorOptions) {
		super(message, opts);
	}
}

/** File position of the record that follows `head`. */
type PageIndexEntry = {readonly byte: number; readonly head: EvidenceHead | undefined};

/** Records that are written and synced together. */
type Batch = {
	readonly lines: string[];
	/** Whether an earlier batch, to which these records are chained, found no room. */
	isRefused: boolean;
};

export type EvidenceLogOptions = {
	readonly storage: EvidenceStorage;
	/** Wall-clock time in ISO format, for readers only; records are ordered by their sequence numbers. */
	readonly getWallTime?: () => string;
};

/** Append-only, hash-chained log of events on this host, synced to disk before an append is acknowledged. */
export class EvidenceLog {
	/** Opens a log, verifies its whole chain and drops an incomplete last line, which was never acknowledged. */
	static async open(opts: EvidenceLogOptions): Promise<EvidenceLog> {
		const log = new EvidenceLog(opts);
		const anchors = parseAnchors(await opts.storage.readHead());
		const verification = anchors
			? await verifyLines(opts.storage.readLines(0), {
				anchors, onEntry(entry, bytes) {
					log.advance(entry, bytes);
				},
			})
			: createUnreadableHeadResult();
		log.durableHead = log.head;
		log.durableBytes = log.bytes;
		await log.recover(verification);
		return log;
	}

	private readonly storage: EvidenceStorage;
	private readonly getWallTime: () => string;
	private head: EvidenceHead | undefined;
	private durableHead: EvidenceHead | undefined;
	private bytes = 0;
	private durableBytes = 0;
	private pageIndex: readonly PageIndexEntry[] = [{byte: 0, head: undefined}];
	private flushing: Promise<void> | undefined;
	private nextBatch: Batch | undefined;
	private nextFlush: Promise<void> | undefined;
	private failure: Error | undefined;

	private constructor(opts: EvidenceLogOptions) {
		this.storage = opts.storage;
		this.getWallTime = opts.getWallTime ?? (() => new Date().toISOString());
	}

	/**
	 * Appends a record and resolves once it is durable; records appended while a sync is running share the next one. On a full
	 * disk the record is refused, and later ones are taken once there is room.
	 */
	async append(record: EvidenceRecord): Promise<HashedEntry> {
		this.assertWritable();
		const line = createLine(this.head, EvidenceRecord.parse(record), this.getWallTime());
		this.advance(line.entry, new TextEncoder().encode(line.text).length);
		if (this.nextBatch === undefined) {
			this.nextBatch = {lines: [], isRefused: false};
			this.nextFlush = this.flushAfter(this.flushing, this.nextBatch);
		}

		this.nextBatch.lines.push(line.text);
		await this.nextFlush;
		return line.entry;
	}

	/** Sequence number and hash of the last durable record. */
	getHead(): EvidenceHead | undefined {
		return this.durableHead;
	}

	/** Reason why the log no longer accepts records, or undefined while it does. */
	getFailure(): string | undefined {
		return this.failure?.message;
	}

	/** Reads durable records after the sequence number `after`; -1 starts at the first. */
	async readPage(after: number, limit: number): Promise<EvidencePage> {
		const head = this.durableHead;
		const indexEntry = this.pageIndex.findLast(candidate => (candidate.head?.seq ?? -1) <= after) ?? {byte: 0, head: undefined};
		const entries: HashedEntry[] = [];
		let previous = indexEntry.head;
		for await (const line of this.storage.readLines(indexEntry.byte)) {
			if (entries.length >= limit || (previous?.seq ?? -1) >= (head?.seq ?? -1)) {
				break;
			}

			const entry = parseLine(previous, line);
			if (isBrokenLink(entry)) {
				throw new EvidenceError(`The evidence is broken at line ${entry.line} (${entry.fault}).`, entry);
			}

			previous = {seq: entry.seq, hash: entry.hash};
			if (entry.seq > after) {
				entries.push(entry);
			}
		}

		const last = entries.at(-1)?.seq;
		return {entries, next: last !== undefined && last < (head?.seq ?? -1) ? last : null, head: head ?? null};
	}

	/** Verifies all records that are durable now; `known` is a head that the caller saved earlier. */
	async verify(known?: EvidenceHead): Promise<Verification> {
		const {durableHead} = this;
		const anchors = [durableHead, known].filter(head => head !== undefined);
		return verifyLines(this.storage.readLines(0), {anchors, untilSeq: durableHead?.seq ?? -1});
	}

	/** Waits for pending appends and closes the files. */
	async close(): Promise<void> {
		await Promise.allSettled([this.flushing, this.nextFlush]);
		this.failure ??= new EvidenceError('The evidence log is closed.');
		await this.storage.close();
	}

	private advance(entry: HashedEntry, bytes: number): void {
		this.head = {seq: entry.seq, hash: entry.hash};
		this.bytes += bytes;
		if ((entry.seq + 1) % PAGE_INDEX_STEP === 0) {
			this.pageIndex = [...this.pageIndex, {byte: this.bytes, head: this.head}];
		}
	}

	private async recover(verification: Verification): Promise<void> {
		if (!verification.intact) {
			const {line, fault, expected, found} = verification;
			await this.storage.close();
			throw new EvidenceError(`The evidence is broken at line ${line} (${fault}): expected ${expected}, found ${found}.`, verification);
		}

		if (verification.tornBytes > 0) {
			await this.storage.truncate(this.bytes);
			await this.append({kind: 'tail-dropped', bytes: verification.tornBytes});
		}
	}

	private assertWritable(): void {
		if (this.failure) {
			throw new EvidenceError('The evidence log accepts no more records.', undefined, {cause: this.failure});
		}
	}

	private async flushAfter(previous: Promise<void> | undefined, batch: Batch): Promise<void> {
		// Records that are appended while the previous batch is synced wait here and are written in one batch.
		await Promise.allSettled([previous]);
		if (batch.isRefused) {
			throw new EvidenceError('The record follows one that could not be made durable.', undefined, {cause: new NoSpaceError('The disk had no room.')});
		}

		this.flushing = this.nextFlush;
		this.nextBatch = undefined;
		this.nextFlush = undefined;
		this.assertWritable();
		await this.writeBatch(batch, this.head!, this.bytes);
	}

	private async writeBatch(batch: Batch, head: EvidenceHead, bytes: number): Promise<void> {
		try {
			await this.storage.append(batch.lines.join(''));
			await this.storage.writeHead(formatHead(head));
		} catch (err: unknown) {
			await this.handleFailedWrite(err);
			throw new EvidenceError('The record could not be made durable.', undefined, {cause: err});
		}

		this.durableHead = head;
		this.durableBytes = bytes;
	}

	/** Cuts the file back after a write that found no room. After any other failure its content is unknown, so the log accepts no further records. */
	private async handleFailedWrite(err: unknown): Promise<void> {
		let failure = err;
		if (err instanceof NoSpaceError) {
			try {
				await this.storage.truncate(this.durableBytes);
				this.dropUndurable();
				return;
			} catch (truncateErr: unknown) {
				failure = truncateErr;
			}
		}

		this.failure = failure instanceof Error ? failure : new Error(String(failure));
	}

	private dropUndurable(): void {
		this.head = this.durableHead;
		this.bytes = this.durableBytes;
		this.pageIndex = this.pageIndex.filter(({byte}) => byte <= this.durableBytes);
		if (this.nextBatch) {
			this.nextBatch.isRefused = true;
		}

		this.nextBatch = undefined;
		this.nextFlush = undefined;
	}
}
