/** Versions in force at the hosts of a subtree, and which of them are not yet reported to the parent. */
export class InForceReports {
	private readonly versions = new Map<string, number>();
	private unsent = new Map<string, number>();

	/** Records the version that a host serves; lower versions are ignored, since a host never reverts to one. */
	record(hostId: string, version: number): void {
		if ((this.versions.get(hostId) ?? -1) >= version) {
			return;
		}

		this.versions.set(hostId, version);
		this.unsent.set(hostId, version);
	}

	merge(reports: Readonly<Record<string, number>>): void {
		for (const [hostId, version] of Object.entries(reports)) {
			this.record(hostId, version);
		}
	}

	getVersion(hostId: string): number {
		return this.versions.get(hostId) ?? 0;
	}

	getAll(): ReadonlyMap<string, number> {
		return this.versions;
	}

	/** Returns the versions that changed since the last call; if they cannot be delivered, the caller must call `requeueAll`. */
	drainUnsent(): Readonly<Record<string, number>> {
		const drained = Object.fromEntries(this.unsent);
		this.unsent = new Map();
		return drained;
	}

	/** Queues all known versions again, after a failed delivery or a change of the parent. */
	requeueAll(): void {
		this.unsent = new Map(this.versions);
	}
}
