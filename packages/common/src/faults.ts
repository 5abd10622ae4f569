import type {z} from 'zod';
import {MAX_FOUND_LENGTH} from './constants.js';
import type {Fault} from './types.js';

type Path = readonly PropertyKey[];
type Issue = z.core.$ZodIssue;
type SizeIssue = z.core.$ZodIssueTooSmall | z.core.$ZodIssueTooBig;

const typeNames: Readonly<Record<string, string>> = {
	int: 'a whole number',
	number: 'a number',
	string: 'text',
	boolean: 'true or false',
	array: 'a list',
	object: 'a map',
	record: 'a map',
};

function formatChoice(values: readonly unknown[]): string {
	const texts = values.map(value => JSON.stringify(value));
	return texts.length === 1 ? texts.join('') : `one of ${texts.join(', ')}`;
}

function formatCount(amount: number, singular: string, plural: string): string {
	return `${amount} ${amount === 1 ? singular : plural}`;
}

function describeSize(issue: SizeIssue): string {
	const isMinimum = issue.code === 'too_small';
	const bound = Number(isMinimum ? issue.minimum : issue.maximum);
	if (issue.origin === 'string') {
		return `text of at ${isMinimum ? 'least' : 'most'} ${formatCount(bound, 'character', 'characters')}`;
	}

	if (issue.origin === 'array' || issue.origin === 'set') {
		return `a list of at ${isMinimum ? 'least' : 'most'} ${formatCount(bound, 'entry', 'entries')}`;
	}

	const noun = issue.origin === 'int' ? 'a whole number' : 'a number';
	if (issue.inclusive) {
		return `${noun} of at ${isMinimum ? 'least' : 'most'} ${bound}`;
	}

	return `${noun} ${isMinimum ? 'above' : 'below'} ${bound}`;
}

function describeUnion(issue: z.core.$ZodIssueInvalidUnion): string {
	if ('options' in issue && issue.options) {
		return formatChoice(issue.options);
	}

	const expectations = issue.errors.flatMap(branch => branch.slice(0, 1).map(nested => describeExpectation(nested)));
	return expectations.length > 0 ? [...new Set(expectations)].join(' or ') : 'one of the documented kinds';
}

/** Describes what a zod issue expects, as a phrase that follows "expected". */
function describeExpectation(issue: Issue): string {
	switch (issue.code) {
		case 'invalid_type': {
			return typeNames[issue.expected] ?? issue.expected;
		}

		case 'too_small':
		case 'too_big': {
			return describeSize(issue);
		}

		case 'invalid_value': {
			return formatChoice(issue.values);
		}

		case 'not_multiple_of': {
			return `a multiple of ${issue.divisor}`;
		}

		case 'unrecognized_keys': {
			return 'no such field';
		}

		case 'invalid_union': {
			return describeUnion(issue);
		}

		case 'invalid_format':
		case 'invalid_key':
		case 'invalid_element':
		case 'custom': {
			// The schemas phrase the messages of formats and custom checks as expectations already.
			return issue.message;
		}
	}
}

/** Describes a rejected value in a few words. */
export function describeFound(value: unknown): string {
	if (value === undefined || value === null) {
		return 'nothing';
	}

	if (Array.isArray(value)) {
		return value.length === 0 ? 'an empty list' : 'a list';
	}

	if (typeof value === 'object') {
		return 'a map';
	}

	const text = JSON.stringify(value);
	return text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}...` : text;
}

function getIn(value: unknown, path: Path): unknown {
	let current = value;
	for (const key of path) {
		if (typeof current !== 'object' || current === null || !Object.hasOwn(current, key)) {
			return undefined;
		}

		current = (current as Record<PropertyKey, unknown>)[key];
	}

	return current;
}

/** Returns the paths that an issue concerns: each unknown field is a separate fault, not one of the map that contains it. */
function getPaths(issue: Issue): readonly Path[] {
	return issue.code === 'unrecognized_keys' ? issue.keys.map(key => [...issue.path, key]) : [issue.path];
}

/** Lists the faults of a value that its schema rejected, one for each field, with the line if `getLine` returns one. */
export function getSchemaFaults(input: unknown, {issues}: {readonly issues: readonly Issue[]}, getLine?: (path: Path) => number | undefined): readonly Fault[] {
	return issues.flatMap(issue => getPaths(issue).map(path => {
		const line = getLine?.(path);
		return {
			path: path.map(String).join('.'),
			expected: describeExpectation(issue),
			found: describeFound(getIn(input, path)),
			...(line !== undefined && {line}),
		};
	}));
}
