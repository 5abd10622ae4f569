import type {ControlHost} from '@egretrill/hosts';

export type ControlChoice = {
	readonly hosts: readonly ControlHost[];
	readonly leaderId: string | undefined;
	readonly zone: string;
	/** Whether a host answered when it was last asked, or enough time has passed since. */
	readonly isTrusted: (id: string) => boolean;
	/** Polls so far that brought nothing from the leader. */
	readonly turn: number;
};

/** Picks the control host to poll: the leader while it answers, otherwise all others in turn, the near ones first, since any of them may be behind without knowing it. */
export function pickControl({hosts, leaderId, zone, isTrusted, turn}: ControlChoice): string | undefined {
	if (leaderId !== undefined && isTrusted(leaderId)) {
		return leaderId;
	}

	const trusted = hosts.filter(({id}) => isTrusted(id));
	const choices = (trusted.length > 0 ? trusted : hosts).toSorted((a, b) => Number(b.zone === zone) - Number(a.zone === zone));
	return choices[turn % Math.max(1, choices.length)]?.id;
}
