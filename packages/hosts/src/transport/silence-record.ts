/** Tells all connections of a host since when one of them has been silent: what silenced it may have silenced the others as well. */
export class SilenceRecord {
	private sinceMs = Number.NEGATIVE_INFINITY;

	/** Time from which on nothing was received on the connection that was found silent last. */
	getSinceMs(): number {
		return this.sinceMs;
	}

	record(sinceMs: number): void {
		this.sinceMs = Math.max(this.sinceMs, sinceMs);
	}
}
