/** Long-term speeds of targets relative to the mean of their service: 1 = as fast as the mean, 2 = twice as fast. */
export abstract class TargetSpeeds {
	/** Returns the speed of a target's process; undefined while it is unknown or its service's targets are equally fast. */
	abstract getSpeed(targetId: string, startedAtMs: number): number | undefined;
}
