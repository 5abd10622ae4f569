import {
	type ConfigInForce, ConfigInForce as ConfigInForceSchema, NotFound, operations,
} from '@egretrill/operators';
import {z} from 'zod';
import type {AdminClient} from './admin-client.js';
import {ConnectedCommand} from './connected-command.js';
import {reportReadFailure, reportRefused} from './reports.js';
import {ConnectionArgs, type Report} from './types.js';

/** A command that only reads from a host and has only the connection options. */
export abstract class ReadCommand extends ConnectedCommand<typeof ConnectionArgs> {
	readonly schema = ConnectionArgs;
}

/** A command that shows a part of the configuration in force. */
export abstract class ConfigReadCommand extends ReadCommand {
	protected override async runOn(client: AdminClient): Promise<Report> {
		const answer = await client.call({operation: operations.getConfig}, z.union([ConfigInForceSchema, NotFound]));
		if (answer.isErr) {
			return reportReadFailure(answer.error);
		}

		return 'result' in answer.value ? reportRefused(answer.value.reason, answer.value) : this.reportConfig(answer.value);
	}

	protected abstract reportConfig(config: ConfigInForce): Report;
}
