type EndedRequest = {readonly startedAtMs: number; readonly endedAtMs: number};

/** This host's requests at one start of a target, used to correct load reports that do not include them yet. */
export class OwnRequests {
	private readonly active = new Map<number, number>();
	private ended: EndedRequest[] = [];
	private nextId = 0;

	/** Number of this host's requests in flight. */
	get activeCount(): number {
		return this.active.size;
	}

	/** Records a request that is about to be sent; returns the id with which to end it. */
	start(nowMs: number): number {
		const id = this.nextId++;
		this.active.set(id, nowMs);
		return id;
	}

	/** Records the end of a request, regardless of its outcome. */
	end(id: number, nowMs: number): void {
		const startedAtMs = this.active.get(id);
		if (startedAtMs === undefined) {
			return;
		}

		this.active.delete(id);
		this.ended.push({startedAtMs, endedAtMs: nowMs});
	}

	/** Returns the number of requests that a load sample includes, also those that have ended since. */
	countIncluded(sampledAtMs: number): number {
		let count = 0;
		for (const startedAtMs of this.active.values()) {
			count += startedAtMs < sampledAtMs ? 1 : 0;
		}

		for (const request of this.ended) {
			count += request.startedAtMs < sampledAtMs && request.endedAtMs >= sampledAtMs ? 1 : 0;
		}

		return count;
	}

	/** Removes requests that ended before the load was sampled. */
	prune(sampledAtMs: number): void {
		this.ended = this.ended.filter(request => request.endedAtMs >= sampledAtMs);
	}

	/** Returns the change since the sample: requests started after it, minus those it includes that have ended. */
	getDeltaSince(sampledAtMs: number): number {
		let delta = 0;
		for (const startedAtMs of this.active.values()) {
			delta += startedAtMs >= sampledAtMs ? 1 : 0;
		}

		for (const request of this.ended) {
			delta -= request.startedAtMs < sampledAtMs && request.endedAtMs >= sampledAtMs ? 1 : 0;
		}

		return delta;
	}
}
