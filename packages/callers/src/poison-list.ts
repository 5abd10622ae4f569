import {createHash} from 'node:crypto';
import {refuse, type Clock, type Verdict} from '@egretrill/common';
import {MAX_POISON_ENTRIES, POISON_BLOCK_MS, POISON_TARGET_LIMIT} from './limits/constants.js';
import type {CrashReport, PoisonBlock} from './limits/types.js';

/** Identifies a request by customer, route and body. */
export function getFingerprint(customer: string, route: string, body: Uint8Array): string {
	const hash = createHash('sha256');
	// Length prefixes prevent collisions made on purpose by moving characters from one field to the next.
	for (const field of [customer, route]) {
		hash.update(`${new TextEncoder().encode(field).length}:${field}`);
	}

	return hash.update(body).digest('hex');
}

type Suspect = {readonly startIds: ReadonlySet<string>; readonly reportedAtMs: number};

/** Counts, at the owner, the distinct target starts that crashed on a request. */
export class PoisonCounter {
	private readonly suspects = new Map<string, Suspect>();
	private readonly blockedUntil = new Map<string, number>();

	constructor(private readonly clock: Clock) {}

	/** Counts a crash; repeated reports on the same target start count once. */
	report({fingerprint, startId}: CrashReport): void {
		const now = this.clock.now();
		const known = this.suspects.get(fingerprint);
		const startIds = new Set([...(known && now - known.reportedAtMs < POISON_BLOCK_MS ? known.startIds : []), startId]);
		this.suspects.delete(fingerprint);
		if (startIds.size >= POISON_TARGET_LIMIT) {
			setBounded(this.blockedUntil, fingerprint, now + POISON_BLOCK_MS);
		} else {
			setBounded(this.suspects, fingerprint, {startIds, reportedAtMs: now});
		}
	}

	/** The blocks in force, with remaining durations, for distribution to the hosts. */
	getBlocks(): readonly PoisonBlock[] {
		const now = this.clock.now();
		return [...this.blockedUntil].flatMap(([fingerprint, untilMs]) => untilMs > now ? [{fingerprint, remainingMs: untilMs - now}] : []);
	}
}

/** The blocked requests known to this host. */
export class PoisonList {
	private readonly blockedUntil = new Map<string, number>();

	constructor(private readonly clock: Clock) {}

	/** Applies the blocks that the owner has in force. */
	update(blocks: readonly PoisonBlock[]): void {
		const now = this.clock.now();
		for (const [fingerprint, untilMs] of this.blockedUntil) {
			if (untilMs <= now) {
				this.blockedUntil.delete(fingerprint);
			}
		}

		for (const {fingerprint, remainingMs} of blocks) {
			setBounded(this.blockedUntil, fingerprint, now + remainingMs);
		}
	}

	/** Returns the refusal of a blocked request; undefined for any other. */
	check(fingerprint: string): Verdict | undefined {
		const remainingMs = (this.blockedUntil.get(fingerprint) ?? 0) - this.clock.now();
		return remainingMs > 0 ? refuse(422, 'poison-request', `This request crashed ${POISON_TARGET_LIMIT} targets and is refused.`, Math.ceil(remainingMs)) : undefined;
	}
}

/** Sets an entry as the newest and removes the oldest beyond the limit. */
function setBounded<Value>(map: Map<string, Value>, key: string, value: Value): void {
	map.delete(key);
	map.set(key, value);
	const [oldest] = map.keys();
	if (map.size > MAX_POISON_ENTRIES && oldest !== undefined) {
		map.delete(oldest);
	}
}
