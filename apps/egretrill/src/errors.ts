import {EXIT_USAGE} from './constants.js';
import type {Report} from './types.js';

/** Thrown to end a command early with a report. */
export class CommandError extends Error {
	override readonly name = 'CommandError';

	constructor(readonly report: Report) {
		super(report.text);
	}
}

/** Creates the error for wrong arguments, settings or files. */
export function createUsageError(reason: string): CommandError {
	return new CommandError({exitCode: EXIT_USAGE, text: reason, data: {result: 'usage', reason}});
}
