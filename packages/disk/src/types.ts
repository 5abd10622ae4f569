import {z} from 'zod';

const count = z.int().nonnegative();

/** Binary data in MessagePack messages. */
export const Bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'binary data');

/** One entry of the replicated log; `data` is opaque to the storage. */
export const LogEntry = z.object({
	index: z.int().positive(),
	term: count,
	kind: z.enum(['empty', 'command', 'members']),
	data: Bytes,
});
export type LogEntry = z.infer<typeof LogEntry>;

export const LogPosition = z.object({index: count, term: count});
export type LogPosition = z.infer<typeof LogPosition>;

/** State that a voter must persist before it answers: its term and its vote in that term. */
export const HardState = z.object({term: count, votedFor: z.string().nullable()});
export type HardState = z.infer<typeof HardState>;

/** Identifies one lifetime of a data directory; a wiped directory gets a new `identity`. */
export const Identity = z.object({memberId: z.string(), identity: z.string()});
export type Identity = z.infer<typeof Identity>;

/** State after applying all entries up to and including one log position, with the membership at that position. */
export const Snapshot = z.object({
	index: count,
	term: count,
	members: Bytes,
	data: Bytes,
});
export type Snapshot = z.infer<typeof Snapshot>;
