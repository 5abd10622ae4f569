import type {
	HardState, Identity, LogEntry, LogPosition,
} from './types.js';

/**
 * Durable log of one member. Each write is synced before its promise resolves; calls must not overlap. A write that finds no
 * room on the disk throws a NoSpaceError and changes nothing, so that it may be tried again.
 */
export abstract class LogStorage {
	/** Loads the stored log and truncates a torn tail; throws CorruptionError for any other damage. May be called again after a NoSpaceError. */
	abstract open(): Promise<void>;
	abstract close(): Promise<void>;
	/** Position of the last compacted entry; the first stored entry directly follows it. */
	abstract getBase(): LogPosition;
	abstract getLastIndex(): number;
	/** Returns undefined for an index that was compacted or is not written yet. */
	abstract getTerm(index: number): number | undefined;
	/** Returns the stored entries from `fromIndex` to `toIndex`, both inclusive. */
	abstract read(fromIndex: number, toIndex: number): readonly LogEntry[];
	/** Appends and syncs entries that directly follow the last one. */
	abstract append(entries: readonly LogEntry[]): Promise<void>;
	/** Removes `fromIndex` and every later entry. */
	abstract truncateFrom(fromIndex: number): Promise<void>;
	/** Removes the entries up to and including the position, or all entries if the log does not contain the position. */
	abstract compact(upTo: LogPosition): Promise<void>;
	abstract loadHardState(): Promise<HardState>;
	abstract saveHardState(hardState: HardState): Promise<void>;
	/** Returns undefined if the data directory is new or was wiped. */
	abstract loadIdentity(): Promise<Identity | undefined>;
	abstract saveIdentity(identity: Identity): Promise<void>;
	/** Renames all stored files, including the identity, so that the member rejoins with a new identity. */
	abstract quarantine(): Promise<void>;
}
