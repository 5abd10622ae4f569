import {operations, TargetList} from '@egretrill/operators';
import {Command, type CommandHelp, connectionOptions} from '../command.js';
import type {AdminConnector} from '../connector.js';
import {reportDone, reportReadFailure} from '../reports.js';
import {ConnectionArgs, type Report} from '../types.js';
import {formatTargets} from './status.js';

/** Lists the targets that a host knows. */
export class TargetsCommand extends Command<typeof ConnectionArgs> {
	readonly help: CommandHelp = {
		usage: 'targets',
		summary: 'Lists the known targets with their load and models',
		examples: [['targets --json', 'List the targets for another program']],
	};

	readonly schema = ConnectionArgs;
	override readonly options = connectionOptions;

	constructor(private readonly connector: AdminConnector) {
		super();
	}

	async run(args: ConnectionArgs): Promise<Report> {
		const client = await this.connector.connect(args);
		const list = await client.call({operation: operations.getTargets}, TargetList);
		return list.isErr ? reportReadFailure(list.error) : reportDone(formatTargets(list.value.targets), list.value);
	}
}
