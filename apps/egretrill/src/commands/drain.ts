import {PeerHost} from '@egretrill/common';
import {DrainOutcome, operations} from '@egretrill/operators';
import {z} from 'zod';
import type {AdminClient} from '../admin-client.js';
import type {CommandHelp} from '../command.js';
import {ConnectedCommand} from '../connected-command.js';
import {
	reportDone, reportChangeFailure, reportRefused, toCallFailure,
} from '../reports.js';
import {ConnectionArgs, type Report} from '../types.js';

const DrainArgs = z.object({...ConnectionArgs.shape, host: PeerHost.shape.id});

/** Drains a host. */
export class DrainCommand extends ConnectedCommand<typeof DrainArgs> {
	readonly help: CommandHelp = {
		usage: 'drain <host>',
		summary: 'Asks a host to finish its work and stop',
		examples: [['drain host-a1', 'Stop a host without interrupting requests']],
	};

	readonly schema = DrainArgs;
	override readonly positionals = {host: {type: 'string', describe: 'Id of the host'}} as const;

	protected override async runOn(client: AdminClient, args: z.infer<typeof DrainArgs>): Promise<Report> {
		// A second drain request would stop the host without waiting for running requests, so a lost answer is reported instead of repeating the request.
		const answer = await client.call({operation: operations.drainHost, params: {id: args.host}, body: {}}, DrainOutcome);
		if (answer.isErr) {
			return reportChangeFailure(answer.error);
		}

		const outcome = answer.value;
		if (outcome.result === 'unavailable') {
			return reportChangeFailure(toCallFailure(outcome));
		}

		return outcome.result === 'draining' ? reportDone(`Host ${outcome.host} is draining.`, outcome) : reportRefused(outcome.reason, outcome);
	}
}
