import type {ConfigInForce} from '@egretrill/operators';
import type {CommandHelp} from '../command.js';
import {ConfigReadCommand} from '../read-command.js';
import {reportDone} from '../reports.js';
import {formatTable} from '../table.js';
import type {Report} from '../types.js';

/** Lists the callers' keys. */
export class KeysListCommand extends ConfigReadCommand {
	readonly help: CommandHelp = {
		usage: 'list',
		summary: 'Lists the keys of the configuration in force',
		examples: [['keys list', 'Show which keys are active']],
	};

	protected override reportConfig({version, document: {keys}}: ConfigInForce): Report {
		return reportDone(formatTable(['KEY', 'CUSTOMER', 'STATE', 'DIGEST'], keys.map(({id, customer, state, digest}) => [id, customer, state, digest])), {version, keys});
	}
}
