import type {HistoryEvent} from '../types.js';

/** Formats one event as a line of evidence; undefined and empty fields are left out. */
export function describeEvent(event: HistoryEvent): string {
	const {kind, atMs, ...rest} = event;
	const fields = Object.entries(rest)
		.filter(([, value]) => value !== undefined && value !== '')
		.map(([name, value]) => `${name}=${typeof value === 'object' ? JSON.stringify(value) : String(value)}`);
	return `${atMs.toFixed(1)} ms ${kind} ${fields.join(' ')}`;
}

export function describeEvents(...events: ReadonlyArray<HistoryEvent | undefined>): string[] {
	return events.filter(event => event !== undefined).toSorted((a, b) => a.atMs - b.atMs).map(event => describeEvent(event));
}
