import type {z} from 'zod';
import {parseInParts} from './parse-in-parts.js';

/** Validates each item of a list by itself, so that an invalid one costs only itself. Both lists keep the order of the items. */
export function partitionValid<T>(schema: z.ZodType<T>, items: readonly unknown[]): {readonly valid: T[]; readonly invalid: unknown[]} {
	const valid: T[] = [];
	const invalid: unknown[] = [];
	for (const item of items) {
		const parsed = parseInParts(schema, item);
		if ('faults' in parsed) {
			invalid.push(item);
		} else {
			valid.push(parsed.data as T);
		}
	}

	return {valid, invalid};
}
