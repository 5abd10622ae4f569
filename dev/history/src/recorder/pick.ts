import type {Random} from '@egretrill/common';

export function pick<T>(random: Random, items: readonly T[]): T {
	const item = items[Math.floor(random() * items.length)];
	if (item === undefined) {
		throw new Error('There is nothing to pick from.');
	}

	return item;
}

export function between(random: Random, min: number, max: number): number {
	return min + (random() * (max - min));
}

export function chance(random: Random, probability: number): boolean {
	return random() < probability;
}
