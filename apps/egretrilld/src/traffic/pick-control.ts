import type {ControlHost} from '@egretrill/hosts';

/** Sorts hosts that were never asked before all others. */
const NEVER_MS = -1;

export type ControlChoice = {
	readonly hosts: readonly ControlHost[];
	readonly leaderId: string | undefined;
	readonly zone: string;
	/** Whether a host answered when it was last asked, or enough time has passed since. */
	readonly isTrusted: (id: string) => boolean;
	/** When a host was asked last; undefined for one that never was. */
	readonly getAskedMs: (id: string) => number | undefined;
};

/** Picks the control host to poll: the leader while it answers, otherwise the one whose last poll is longest ago, and of several the nearest, since any of them may be behind without knowing it. */
export function pickControl({hosts, leaderId, zone, isTrusted, getAskedMs}: ControlChoice): string | undefined {
	if (leaderId !== undefined && isTrusted(leaderId)) {
		return leaderId;
	}

	const trusted = hosts.filter(({id}) => isTrusted(id));
	const [choice] = (trusted.length > 0 ? trusted : hosts).toSorted((a, b) => (getAskedMs(a.id) ?? NEVER_MS) - (getAskedMs(b.id) ?? NEVER_MS) || Number(b.zone === zone) - Number(a.zone === zone));
	return choice?.id;
}
