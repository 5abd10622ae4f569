import {type Clock, TimeMark, type TimeOfDay} from '@egretrill/common';
import type {FleetNode, FleetState} from '@egretrill/hosts';

export type TrafficConfirmationOptions = {
	readonly clock: Clock;
	readonly getTimeOfDayMs: TimeOfDay;
	readonly node: Pick<FleetNode, 'isLeaderWithLease' | 'hasReplayed'>;
	readonly state: Pick<FleetState, 'getTraffic'>;
};

/** Version that was in force at the leader, and the time since then. */
export type ConfirmedVersion = {readonly version: number; readonly ageMs: number};

/** What a control host knows of the configuration in force at the leader. A host that does not lead passes on what the leader itself has answered, with its age. */
export class TrafficConfirmation {
	private last: {readonly mark: TimeMark; readonly version: number} | undefined;

	constructor(private readonly opts: TrafficConfirmationOptions) {}

	/** Marks the time at which another control host is asked. */
	mark(): TimeMark {
		return new TimeMark(this.opts.clock, this.opts.getTimeOfDayMs);
	}

	/** Version in force if this host is the leader and a majority stands behind it. */
	getOwnVersion(): number | undefined {
		return this.opts.node.isLeaderWithLease() ? this.getVersion() : undefined;
	}

	/** Records the leader's answer to a question that was asked at the mark. */
	record(mark: TimeMark, version: number): void {
		this.last = {mark, version};
	}

	/** The latest confirmation that this host's own configuration meets. */
	get(): ConfirmedVersion | undefined {
		const ownVersion = this.getOwnVersion();
		if (ownVersion !== undefined) {
			return {version: ownVersion, ageMs: 0};
		}

		return this.last && this.opts.node.hasReplayed() && this.getVersion() >= this.last.version
			? {version: this.last.version, ageMs: this.last.mark.getElapsedMs()}
			: undefined;
	}

	private getVersion(): number {
		return this.opts.state.getTraffic()?.version ?? 0;
	}
}
