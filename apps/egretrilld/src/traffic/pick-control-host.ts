import type {ControlHost} from '@egretrill/hosts';

/** Sorts hosts that were never asked before all others. */
const NEVER_POLLED_MS = -1;

export type ControlHostChoice = {
	readonly hosts: readonly ControlHost[];
	readonly leaderId: string | undefined;
	readonly zone: string;
	/** Whether a host answered when it was last asked, or enough time has passed since. */
	readonly isResponsive: (id: string) => boolean;
	/** When a host was asked last; undefined for one that never was. */
	readonly getLastPollMs: (id: string) => number | undefined;
};

/** Picks the control host to poll: the leader while it answers, otherwise the one whose last poll is longest ago, and of several the nearest, since any of them may be behind without knowing it. */
export function pickControlHost({hosts, leaderId, zone, isResponsive, getLastPollMs}: ControlHostChoice): string | undefined {
	if (leaderId !== undefined && isResponsive(leaderId)) {
		return leaderId;
	}

	const trusted = hosts.filter(({id}) => isResponsive(id));
	const [picked] = (trusted.length > 0 ? trusted : hosts).toSorted((a, b) => (getLastPollMs(a.id) ?? NEVER_POLLED_MS) - (getLastPollMs(b.id) ?? NEVER_POLLED_MS) || Number(b.zone === zone) - Number(a.zone === zone));
	return picked?.id;
}
