import type {ConfigDocument, Fault} from '@egretrill/common';
import {documentRules, findFleetFaults} from '../validate-document.js';
import type {Finding} from './types.js';

/** Converts a fault into a finding of kind `error`. */
export function toErrorFinding({path, expected, found, line}: Fault, code: string): Finding {
	return {
		kind: 'error', code, path, message: `expected ${expected}, found ${found}`, ...(line === undefined ? {} : {line}),
	};
}

/** Lists the faults for which the fleet would refuse the document. */
export function findErrors(document: ConfigDocument, current?: ConfigDocument): readonly Finding[] {
	return [
		...findFleetFaults(document, current).map(fault => toErrorFinding(fault, 'other-fleet')),
		...documentRules.flatMap(({code, find}) => find(document).map(fault => toErrorFinding(fault, code))),
	];
}
