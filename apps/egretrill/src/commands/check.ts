import {parseConfigDocument, parseSettings} from '@egretrill/common';
import {validateDocument} from '@egretrill/operators';
import {z} from 'zod';
import {Command, type CommandHelp} from '../command.js';
import {locateFaults, readTextFile, reportFaults} from '../files.js';
import {reportDone} from '../reports.js';
import {CommonArgs, type Report} from '../types.js';

const CheckArgs = z.object({...CommonArgs.shape, file: z.string(), kind: z.enum(['config', 'settings']).default('config')});

/** Lists the faults of a text in its schema and, for configurations, between its parts. */
function findFaults(text: string, kind: z.infer<typeof CheckArgs>['kind']) {
	if (kind === 'settings') {
		return parseSettings(text).match({Ok: () => [], Err: faults => faults});
	}

	return parseConfigDocument(text).match({Ok: document => locateFaults(text, validateDocument(document)), Err: faults => faults});
}

/** Checks a file without a fleet. */
export class CheckCommand extends Command<typeof CheckArgs> {
	readonly help: CommandHelp = {
		usage: 'check <file>',
		summary: 'Checks a configuration document or a settings file without a fleet',
		examples: [
			['check atlas.yaml', 'List every fault of a document with its line'],
			['check host-a1.yaml --kind settings', 'Check the settings of a host'],
		],
	};

	readonly schema = CheckArgs;
	override readonly positionals = {file: {type: 'string', describe: 'YAML file'}} as const;
	override readonly options = {kind: {choices: ['config', 'settings'], default: 'config', describe: 'What the file holds'}} as const;

	async run({file, kind}: z.infer<typeof CheckArgs>): Promise<Report> {
		const faults = findFaults(await readTextFile(file), kind);
		return faults.length > 0 ? reportFaults(file, faults) : reportDone(`${file}: no faults`, {result: 'valid', file});
	}
}
