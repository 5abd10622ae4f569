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
 * Thrown when a sync fails, or a write for any other reason than a full disk. After a failed sync the operating system may drop the dirty pages and report success
 * for the next sync, so the storage rejects all later writes instead of retrying.
 */
export class StorageFailedError extends Error {
	override readonly name = 'StorageFailedError';
}

/** Thrown when a write finds no room on the disk. The stored files are as before the write, which may be tried again later. */
export class NoSpaceError extends Error {
	override readonly name = 'NoSpaceError';
}

const NO_SPACE_CODES: ReadonlySet<unknown> = new Set(['ENOSPC', 'EDQUOT']);

/**
 * Runs an operation that takes room on the disk and throws a NoSpaceError if there is none. Not for syncs: one that fails,
 * with whichever code, may have dropped data that was written earlier.
 */
export async function claimSpace<T>(operation: () => Promise<T>): Promise<T> {
	try {
		return await operation();
	} catch (err: unknown) {
		if (err instanceof Error && 'code' in err && NO_SPACE_CODES.has(err.code)) {
			throw new NoSpaceError(`The disk has no room: ${err.message}.`, {cause: err});
		}

		throw err;
	}
}
