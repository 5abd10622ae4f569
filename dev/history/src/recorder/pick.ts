import {createRandom, type Random} from '@egretrill/common';

/** The first numbers are nearly equal for small seeds, so they are skipped. */
const SKIPPED_NUMBERS = 16;

/** Creates a random source whose first numbers already differ between adjacent seeds. */
export function createRandomSource(seed: number): Random {
	const random = createRandom(seed);
	for (let i = 0; i < SKIPPED_NUMBERS; i++) {
		random();
	}

	return random;
}

export function pick<T>(random: Random, items: readonly T[]): T {
	const item = items[Math.floor(random() * items.length)];
	if (item === undefined) {
		throw new Error('Cannot pick from an empty list.');
	}

	return item;
}

export function randomBetween(random: Random, min: number, max: number): number {
	return min + (random() * (max - min));
}

export function randomBoolean(random: Random, probability: number): boolean {
	return random() < probability;
}
