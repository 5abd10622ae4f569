import {parseConfigDocument} from '@egretrill/common';
import {ApplyOutcome, operations, type Unavailable} from '@egretrill/operators';
import {z} from 'zod';
import {changeOptions, Command, type CommandHelp} from '../command.js';
import type {AdminConnector} from '../connector.js';
import {EXIT_FAILED} from '../constants.js';
import {locateFaults, readTextFile, reportFaults} from '../files.js';
import type {Output} from '../output.js';
import {
	reportAccepted, reportConflict, reportChangeFailure,
} from '../reports.js';
import {chooseRequestId, sendChange} from '../send-change.js';
import {ChangeArgs, type Report} from '../types.js';

const ApplyArgs = z.object({...ChangeArgs.shape, file: z.string(), follows: z.int().nonnegative()});

function reportOutcome(outcome: Exclude<ApplyOutcome, Unavailable>, file: string, text: string): Report {
	switch (outcome.result) {
		case 'accepted': {
			return reportAccepted(outcome);
		}

		case 'conflict': {
			return reportConflict(outcome);
		}

		case 'refused': {
			return reportFaults(file, locateFaults(text, outcome.faults), EXIT_FAILED);
		}
	}
}

/** Applies a configuration document to the fleet. */
export class ApplyCommand extends Command<typeof ApplyArgs> {
	readonly help: CommandHelp = {
		usage: 'apply <file>',
		summary: 'Applies a configuration document in full, or not at all',
		examples: [
			['apply atlas.yaml --follows 7', 'Make the document version 8, if 7 is still in force'],
			['apply atlas.yaml --follows 7 --request-id ID', 'Ask again after a lost answer; the change is applied once'],
		],
	};

	readonly schema = ApplyArgs;
	override readonly positionals = {file: {type: 'string', describe: 'Configuration document (YAML)'}} as const;
	override readonly options = {
		...changeOptions,
		follows: {type: 'number', demandOption: true, describe: 'Version that the document was made from'},
	} as const;

	constructor(private readonly connector: AdminConnector) {
		super();
	}

	async run(args: z.infer<typeof ApplyArgs>, output: Output): Promise<Report> {
		const {file, follows} = args;
		const text = await readTextFile(file);
		const restored = parseConfigDocument(text);
		if (restored.isErr) {
			return reportFaults(file, restored.error);
		}

		const client = await this.connector.connect(args);
		const call = {operation: operations.apply, body: {document: restored.value, follows}};
		const requestId = chooseRequestId(args, output);
		const answer = await sendChange(client, {call, schema: ApplyOutcome}, requestId, output);
		return answer.isOk ? reportOutcome(answer.value, file, text) : reportChangeFailure(answer.error, requestId);
	}
}
