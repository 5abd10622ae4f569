import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns uniformly distributed numbers in [0, 1). */
export type Random = () => number;

const RANDOM_STEPS = 0x1_00_00_00;

/** Creates a random number generator that is reproducible from its seed. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return () => uniformInt(generator, 0, RANDOM_STEPS - 1) / RANDOM_STEPS;
}

/** Varies a period by up to 20 % in both directions, so that the hosts do not synchronize. */
export function jitter(periodMs: number, random: Random): number {
	return periodMs * (0.8 + (0.4 * random()));
}
