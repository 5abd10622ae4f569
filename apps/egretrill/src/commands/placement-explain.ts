import {Model} from '@egretrill/common';
import {NotFound, operations, PlacementExplanation} from '@egretrill/operators';
import {z} from 'zod';
import type {AdminClient} from '../admin-client.js';
import type {CommandHelp} from '../command.js';
import {ConnectedCommand} from '../connected-command.js';
import {reportDone, reportReadFailure, reportRefused} from '../reports.js';
import {formatTable} from '../table.js';
import {ConnectionArgs, type Report} from '../types.js';

const ExplainArgs = z.object({...ConnectionArgs.shape, model: Model.shape.id});

function formatExplanation({model, demand, copies, candidates}: PlacementExplanation): string {
	return [
		`Model ${model}: ${copies.length} ${copies.length === 1 ? 'copy' : 'copies'}, demand ${demand}.`,
		formatTable(['TARGET', 'VERSION', 'STATE'], copies.map(({target, version, state}) => [target, version, state])),
		formatTable(['CANDIDATE', 'CHOSEN', 'REASON'], candidates.map(({target, chosen, reason}) => [target, chosen ? 'yes' : 'no', reason])),
	].join('\n\n');
}

/** Explains the placement of a model. */
export class PlacementExplainCommand extends ConnectedCommand<typeof ExplainArgs> {
	readonly help: CommandHelp = {
		usage: 'explain <model>',
		summary: 'Tells where a model runs and why targets were or were not chosen',
		examples: [['placement explain inscription-1', 'Show the copies and the last decisions']],
	};

	readonly schema = ExplainArgs;
	override readonly positionals = {model: {type: 'string', describe: 'Id of the model'}} as const;

	protected override async runOn(client: AdminClient, args: z.infer<typeof ExplainArgs>): Promise<Report> {
		const answer = await client.call({operation: operations.explainPlacement, params: {model: args.model}}, z.union([PlacementExplanation, NotFound]));
		if (answer.isErr) {
			return reportReadFailure(answer.error);
		}

		return 'result' in answer.value ? reportRefused(answer.value.reason, answer.value) : reportDone(formatExplanation(answer.value), answer.value);
	}
}
