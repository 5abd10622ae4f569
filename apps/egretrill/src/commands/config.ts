import type {ConfigInForce} from '@egretrill/operators';
import {stringify} from 'yaml';
import type {CommandHelp} from '../command.js';
import {ConfigReadCommand} from '../read-command.js';
import {reportDone} from '../reports.js';
import type {Report} from '../types.js';

/** Prints the configuration in force. */
export class ConfigCommand extends ConfigReadCommand {
	readonly help: CommandHelp = {
		usage: 'config',
		summary: 'Prints the configuration document in force as YAML',
		examples: [['config > atlas.yaml', 'Save the document to edit and apply it']],
	};

	protected override reportConfig(config: ConfigInForce): Report {
		const {version, author, digest, document} = config;
		return reportDone(`# Version ${version} by ${author}, digest ${digest}\n${stringify(document)}`, config);
	}
}
