import type {ControlHost} from '@egretrill/hosts';

/** Sorts hosts that were never polled before all others. */
const NEVER_POLLED_MS = -1;

export type ControlHostChoice = {
	readonly hosts: readonly ControlHost[];
	readonly leaderId: string | undefined;
	readonly zone: string;
	/** Whether a host answered its last poll, or enough time has passed since that poll failed. */
	readonly isResponsive: (id: string) => boolean;
	/** Time of the last poll of a host; undefined if it was never polled. */
	readonly getLastPollMs: (id: string) => number | undefined;
};

/** Picks the control host to poll: the leader while it answers, otherwise the least recently polled host, with ties broken in favour of this zone. Taking turns matters since any host may be outdated without detecting it. */
export function pickControlHost({hosts, leaderId, zone, isResponsive, getLastPollMs}: ControlHostChoice): string | undefined {
	if (leaderId !== undefined && isResponsive(leaderId)) {
		return leaderId;
	}

	const responsive = hosts.filter(({id}) => isResponsive(id));
	const [picked] = (responsive.length > 0 ? responsive : hosts)
		.toSorted((a, b) => (getLastPollMs(a.id) ?? NEVER_POLLED_MS) - (getLastPollMs(b.id) ?? NEVER_POLLED_MS) || Number(b.zone === zone) - Number(a.zone === zone));
	return picked?.id;
}
