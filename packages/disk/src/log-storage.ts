import type {
	HardState, Identity, LogEntry, LogPosition,
} from './types.js';

/** Durable log of one member. Each change is synced before its promise resolves; calls must not overlap. */
export abstract class LogStorage {
	/** Loads the stored log and truncates a torn tail; throws CorruptionError for any other damage. */
	abstract open(): Promise<void>;
	abstract close(): Promise<void>;
	/** Position up to which entries were compacted; the first stored entry follows it. */
	abstract getBase(): LogPosition;
	abstract getLastIndex(): number;
	/** Returns undefined for an index that is compacted away or not written yet. */
	abstract getTerm(index: number): number | undefined;
	/** Returns the entries from `fromIndex` up to and including `toIndex` that are stored. */
	abstract read(fromIndex: number, toIndex: number): readonly LogEntry[];
	/** Appends entries that continue the log, and syncs them. */
	abstract append(entries: readonly LogEntry[]): Promise<void>;
	/** Removes `fromIndex` and every later entry. */
	abstract truncateFrom(fromIndex: number): Promise<void>;
	/** Drops entries up to and including the position; the log is emptied when it does not contain the position. */
	abstract compact(upTo: LogPosition): Promise<void>;
	abstract loadHardState(): Promise<HardState>;
	abstract saveHardState(hardState: HardState): Promise<void>;
	/** Returns undefined for a new or wiped data directory. */
	abstract loadIdentity(): Promise<Identity | undefined>;
	abstract saveIdentity(identity: Identity): Promise<void>;
	/** Moves damaged files aside, including the identity, so that the member joins again as a new one. */
	abstract quarantine(): Promise<void>;
}
