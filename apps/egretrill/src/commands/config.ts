import {ConfigInForce, NotFound, operations} from '@egretrill/operators';
import {stringify} from 'yaml';
import {z} from 'zod';
import {Command, type CommandHelp, connectionOptions} from '../command.js';
import type {AdminConnector} from '../connector.js';
import {reportDone, reportReadFailure, reportRefused} from '../reports.js';
import {ConnectionArgs, type Report} from '../types.js';

/** Prints the configuration in force. */
export class ConfigCommand extends Command<typeof ConnectionArgs> {
	readonly help: CommandHelp = {
		usage: 'config',
		summary: 'Prints the configuration document in force as YAML',
		examples: [['config > atlas.yaml', 'Save the document to edit and apply it']],
	};

	readonly schema = ConnectionArgs;
	override readonly options = connectionOptions;

	constructor(private readonly connector: AdminConnector) {
		super();
	}

	async run(args: ConnectionArgs): Promise<Report> {
		const client = await this.connector.connect(args);
		const answer = await client.call({operation: operations.getConfig}, z.union([ConfigInForce, NotFound]));
		if (answer.isErr) {
			return reportReadFailure(answer.error);
		}

		if ('result' in answer.value) {
			return reportRefused(answer.value.reason, answer.value);
		}

		const {version, author, digest, document} = answer.value;
		return reportDone(`# Version ${version} by ${author}, digest ${digest}\n${stringify(document)}`, answer.value);
	}
}
