/** A connection on which nothing is received any more, unless it was only slow. */
export type SilentConnection = {
	/** Whether something was received at or after the time. */
	readonly wasHeardSince: (timeMs: number) => boolean;
};

/** Tells all connections of a host since when one of them has been silent: what silenced it may have silenced the others as well. */
export class SilenceRecord {
	private sinceMs = Number.NEGATIVE_INFINITY;
	private connection: SilentConnection | undefined;

	/** Time from which on nothing was received on the connection that was found silent last; infinitely long ago if it was heard again, since then its host was only slow. */
	getSinceMs(): number {
		return this.connection?.wasHeardSince(this.sinceMs) ? Number.NEGATIVE_INFINITY : this.sinceMs;
	}

	record(sinceMs: number, connection: SilentConnection): void {
		if (sinceMs >= this.getSinceMs()) {
			this.sinceMs = sinceMs;
			this.connection = connection;
		}
	}
}
