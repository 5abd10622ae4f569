/** Thrown when stored bytes fail their checksum or schema validation; the data must not be used. */
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
 * Thrown when a write or sync fails. After a failed sync the operating system may drop the dirty pages and report success
 * for the next sync, so the storage rejects all later writes instead of retrying.
 */
export class StorageFailedError extends Error {
	override readonly name = 'StorageFailedError';
}
