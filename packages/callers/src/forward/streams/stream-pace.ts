/** Events of one target's stream after its first chunk, and the time that they took. */
export class StreamPace {
	private first: {readonly atMs: number; readonly eventId: number | undefined} | undefined;
	private lastAtMs = 0;
	private lastEventId: number | undefined;
	private chunks = 0;

	/** Records a chunk of events and the id of the last of them. */
	recordChunk(atMs: number, eventId: number | undefined): void {
		this.first ??= {atMs, eventId};
		this.lastAtMs = atMs;
		this.lastEventId = eventId;
		this.chunks += 1;
	}

	/** Number of events by their ids, since a chunk may hold several; without ids, the number of chunks. */
	get events(): number {
		const firstId = this.first?.eventId;
		return firstId === undefined || this.lastEventId === undefined ? Math.max(0, this.chunks - 1) : this.lastEventId - firstId;
	}

	get durationMs(): number {
		return this.first ? this.lastAtMs - this.first.atMs : 0;
	}
}
