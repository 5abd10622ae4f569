/** Versions in force at the hosts of a subtree, with the part that the parent has not heard yet. */
export class InForceReports {
	private readonly versions = new Map<string, number>();
	private unsent = new Map<string, number>();

	/** Notes the version that a host serves; a host never serves less than before. */
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

	/** Takes what has changed since the last call; a failed send must put it back with `restore`. */
	drainUnsent(): Readonly<Record<string, number>> {
		const drained = Object.fromEntries(this.unsent);
		this.unsent = new Map();
		return drained;
	}

	/** Puts back reports whose delivery failed, and everything known when the parent has changed. */
	requeueAll(): void {
		this.unsent = new Map(this.versions);
	}
}
