/** What decides whether a registered target is kept when the registry is full. */
export type KeptTarget = {
	readonly targetId: string;
	/** Whether it has ended or is silent for so long that other hosts do not use it. */
	readonly isGone: boolean;
	/** Whether another target has its address. */
	readonly isWaiting: boolean;
	/** Whether the configuration names its service. */
	readonly isNamed: boolean;
	/** Whether it has gone on registering for a while. */
	readonly isSteady: boolean;
	readonly receivedMs: number;
};

/** What the rank of a target depends on. */
export type Standing = Pick<KeptTarget, 'isGone' | 'isWaiting' | 'isNamed' | 'isSteady'>;

const NAMED_RANK = 2;

/** Ranks a target by how much it is worth keeping: named services come first, then targets that go on registering. */
export function getRank({isGone, isWaiting, isNamed, isSteady}: Standing): number {
	if (isGone) {
		return 0;
	}

	return 1 + (isNamed && !isWaiting ? NAMED_RANK : 0) + (isSteady ? 1 : 0);
}

/** Chooses targets to drop for one of another rank: at most `count`, and only those that are worth less, the least and longest silent ones first. */
export function chooseDropped(targets: readonly KeptTarget[], otherRank: number, count: number): readonly string[] {
	return targets
		.map(target => ({targetId: target.targetId, receivedMs: target.receivedMs, rank: getRank(target)}))
		.filter(({rank}) => rank < otherRank)
		.toSorted((first, second) => first.rank - second.rank || first.receivedMs - second.receivedMs)
		.slice(0, count)
		.map(({targetId}) => targetId);
}
