import {readFile} from 'node:fs/promises';
import {type Fault, formatFaults} from '@egretrill/common';
import {
	isNode, LineCounter, parseDocument,
} from 'yaml';
import {EXIT_USAGE} from './constants.js';
import {createUsageError} from './errors.js';
import type {Report} from './types.js';

/** Reads a file given on the command line; an unreadable file is a usage error. */
export async function readTextFile(file: string): Promise<string> {
	try {
		return await readFile(file, 'utf8');
	} catch (err: unknown) {
		throw createUsageError(`${file} cannot be read (${(err as NodeJS.ErrnoException).code ?? 'unknown error'}).`);
	}
}

type Locatable = {readonly path: string; readonly line?: number | undefined};

/** Adds line numbers to faults or findings that were found in the parsed document, which has no positions. */
export function locateFaults<Entry extends Locatable>(text: string, faults: readonly Entry[]): readonly Entry[] {
	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines});
	return faults.map(fault => {
		const path = fault.path.split('.');
		for (let depth = path.length; fault.line === undefined && depth >= 0; depth--) {
			const node = document.getIn(path.slice(0, depth), true);
			if (isNode(node) && node.range) {
				return {...fault, line: lines.linePos(node.range[0]).line};
			}
		}

		return fault;
	});
}

/** Reports the faults of a file. */
export function reportFaults(file: string, faults: readonly Fault[], exitCode = EXIT_USAGE): Report {
	return {exitCode, text: formatFaults(file, faults), data: {result: exitCode === EXIT_USAGE ? 'invalid' : 'refused', file, faults}};
}
