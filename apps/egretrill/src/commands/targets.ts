import {operations, TargetList} from '@egretrill/operators';
import type {AdminClient} from '../admin-client.js';
import type {CommandHelp} from '../command.js';
import {ReadCommand} from '../read-command.js';
import {reportDone, reportReadFailure} from '../reports.js';
import type {Report} from '../types.js';
import {formatTargets} from './status.js';

/** Lists the targets that are announced to a host. */
export class TargetsCommand extends ReadCommand {
	readonly help: CommandHelp = {
		usage: 'targets',
		summary: 'Lists the known targets with their load and models',
		examples: [['targets --json', 'List the targets for another program']],
	};

	protected override async runOn(client: AdminClient): Promise<Report> {
		const list = await client.call({operation: operations.getTargets}, TargetList);
		return list.isErr ? reportReadFailure(list.error) : reportDone(formatTargets(list.value.targets), list.value);
	}
}
