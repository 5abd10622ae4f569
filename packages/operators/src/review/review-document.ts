import type {ConfigDocument} from '@egretrill/common';
import {findDifferences} from './find-differences.js';
import {findErrors} from './find-errors.js';
import {findLimitConflicts} from './find-limit-conflicts.js';
import {findUnusedEntries} from './find-unused-entries.js';
import type {Finding} from './types.js';

/** Lists everything that an operator may want to know before sending a document; `current` is the document in force. */
export function reviewDocument(document: ConfigDocument, current?: ConfigDocument): readonly Finding[] {
	return [
		...findErrors(document, current),
		...findUnusedEntries(document),
		...findLimitConflicts(document),
		...(current ? findDifferences(document, current) : []),
	];
}
