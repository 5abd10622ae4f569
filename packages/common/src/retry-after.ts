const MS_PER_SECOND = 1000;
const SECONDS_PATTERN = /^\d+(?:\.\d*)?$/v;
const SECONDS_LIST_PATTERN = /^[\d.\s,]+$/v;
/** Dates begin with the name of a weekday. */
const DATE_PATTERN = /^[a-z]{3}/iv;

/** Longest pause that is granted; a longer or damaged value must not take a target out of service for good. */
export const MAX_RETRY_AFTER_MS = 300_000;

function parseDateMs(text: string | undefined): number | undefined {
	const timeMs = text !== undefined && DATE_PATTERN.test(text) ? Date.parse(text) : Number.NaN;
	return Number.isNaN(timeMs) ? undefined : timeMs;
}

function parseValueMs(text: string, sentMs: number): readonly number[] {
	if (SECONDS_LIST_PATTERN.test(text)) {
		return text.split(',').map(part => part.trim()).filter(part => SECONDS_PATTERN.test(part)).map(part => Number(part) * MS_PER_SECOND);
	}

	const dateMs = parseDateMs(text);
	return dateMs === undefined ? [] : [dateMs - sentMs];
}

/** Parses the values of a Retry-After header, in seconds or as a date; of several valid ones the longest counts. A date is relative to the answer's own Date header, since clocks differ. */
export function parseRetryAfterMs(values: readonly string[], dateHeader: string | undefined, timeOfDayMs: number): number | undefined {
	const sentMs = parseDateMs(dateHeader?.trim()) ?? timeOfDayMs;
	const durations = values.flatMap(value => parseValueMs(value.trim(), sentMs));
	return durations.length === 0 ? undefined : Math.min(MAX_RETRY_AFTER_MS, Math.max(0, ...durations));
}
