import {createRandom, type Random} from '@egretrill/common';

/** The first numbers of sources with small seeds are nearly equal, so they are left out. */
const SKIPPED_NUMBERS = 16;

/** Creates a source whose first choices already differ between neighbouring seeds. */
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
		throw new Error('There is nothing to pick from.');
	}

	return item;
}

export function randomBetween(random: Random, min: number, max: number): number {
	return min + (random() * (max - min));
}

export function randomBoolean(random: Random, probability: number): boolean {
	return random() < probability;
}
