type EndedRequest = {readonly startedAtMs: number; readonly endedAtMs: number};

/** This host's requests at one start of a target, for correcting a report that does not count them yet. */
export class OwnRequests {
	private readonly active = new Map<number, number>();
	private ended: EndedRequest[] = [];
	private nextId = 0;

	/** Number of requests in flight from this host. */
	get activeCount(): number {
		return this.active.size;
	}

	/** Notes a request about to be written; the returned id ends it. */
	start(nowMs: number): number {
		const id = this.nextId++;
		this.active.set(id, nowMs);
		return id;
	}

	/** Notes the end of a request, whatever its outcome. */
	end(id: number, nowMs: number): void {
		const startedAtMs = this.active.get(id);
		if (startedAtMs === undefined) {
			return;
		}

		this.active.delete(id);
		this.ended.push({startedAtMs, endedAtMs: nowMs});
	}

	/** Requests that a sample counts, including those that ended since. */
	getCounted(sampledAtMs: number): number {
		let counted = 0;
		for (const startedAtMs of this.active.values()) {
			counted += startedAtMs < sampledAtMs ? 1 : 0;
		}

		for (const request of this.ended) {
			counted += request.startedAtMs < sampledAtMs && request.endedAtMs >= sampledAtMs ? 1 : 0;
		}

		return counted;
	}

	/** Forgets requests that ended before the load was sampled. */
	prune(sampledAtMs: number): void {
		this.ended = this.ended.filter(request => request.endedAtMs >= sampledAtMs);
	}

	/** Requests begun since the sample less those that it counts and that have ended since. */
	getDelta(sampledAtMs: number): number {
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
