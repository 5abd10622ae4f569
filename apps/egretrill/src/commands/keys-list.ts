import {ConfigInForce, NotFound, operations} from '@egretrill/operators';
import {z} from 'zod';
import {Command, type CommandHelp, connectionOptions} from '../command.js';
import type {AdminConnector} from '../connector.js';
import {reportDone, reportReadFailure, reportRefused} from '../reports.js';
import {formatTable} from '../table.js';
import {ConnectionArgs, type Report} from '../types.js';

/** Lists the callers' keys. */
export class KeysListCommand extends Command<typeof ConnectionArgs> {
	readonly help: CommandHelp = {
		usage: 'list',
		summary: 'Lists the keys of the configuration in force',
		examples: [['keys list', 'Show which keys are active']],
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

		const {version, document: {keys}} = answer.value;
		return reportDone(formatTable(['KEY', 'CUSTOMER', 'STATE', 'DIGEST'], keys.map(({id, customer, state, digest}) => [id, customer, state, digest])), {version, keys});
	}
}
