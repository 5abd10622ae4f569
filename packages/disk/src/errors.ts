/** Stored bytes that fail their checksum or schema; the data must not be used. */
export class CorruptionError extends Error {
	override readonly name = 'CorruptionError';
	readonly file: string;
	readonly offset: number;

	constructor(file: string, offset: number, reason: string, opts?: ErrorOptions) {
		super(`${file} is damaged at byte ${offset}: ${reason}.`, opts);
		this.file = file;
		this.offset = offset;
	}
}

/**
 * A write or sync that failed. The operating system may have dropped the unsynced pages and report success next time,
 * so the storage refuses every later call instead of retrying.
 */
export class StorageFailedError extends Error {
	override readonly name = 'StorageFailedError';
}
