import {Zone, type ZoneState} from '@egretrill/common';
import {operations, ZoneStateOutcome, type Unavailable} from '@egretrill/operators';
import {z} from 'zod';
import type {AdminClient} from '../admin-client.js';
import {changeOptions, type CommandHelp} from '../command.js';
import {ConnectedCommand} from '../connected-command.js';
import type {AdminConnector} from '../connector.js';
import type {Output} from '../output.js';
import {
	reportAccepted, reportConflict, reportChangeFailure, reportRefused,
} from '../reports.js';
import {getOrCreateRequestId, sendChange} from '../send-change.js';
import {ChangeArgs, type Report} from '../types.js';

const ZoneArgs = z.object({...ChangeArgs.shape, zone: Zone.shape.id});

function reportOutcome(outcome: Exclude<ZoneStateOutcome, Unavailable>): Report {
	switch (outcome.result) {
		case 'accepted': {
			return reportAccepted(outcome);
		}

		case 'conflict': {
			return reportConflict(outcome);
		}

		case 'refused': {
			return reportRefused(outcome.faults.map(({path, expected, found}) => `Refused: ${path}: expected ${expected}, found ${found}`).join('\n'), outcome);
		}

		case 'not-found': {
			return reportRefused(outcome.reason, outcome);
		}
	}
}

const helpByState: Readonly<Record<ZoneState, CommandHelp>> = {
	'taken-out': {
		usage: 'take-out <zone>',
		summary: 'Takes a zone out of service; the last zone in service is refused',
		examples: [['zones take-out ma-nord-a', 'Stop new work in the zone within 2 s']],
	},
	'in-service': {
		usage: 'return <zone>',
		summary: 'Returns a zone to service',
		examples: [['zones return ma-nord-a', 'Let the zone take work again']],
	},
};

/** Takes a zone out of service or returns it to service, depending on the state. */
export class ZoneChangeCommand extends ConnectedCommand<typeof ZoneArgs> {
	readonly help: CommandHelp;
	readonly schema = ZoneArgs;
	override readonly positionals = {zone: {type: 'string', describe: 'Id of the zone'}} as const;
	override readonly options = changeOptions;

	constructor(connector: AdminConnector, private readonly state: ZoneState) {
		super(connector);
		this.help = helpByState[state];
	}

	protected override async runOn(client: AdminClient, args: z.infer<typeof ZoneArgs>, output: Output): Promise<Report> {
		const call = {operation: operations.setZoneState, params: {id: args.zone}, body: {state: this.state}};
		const requestId = getOrCreateRequestId(args, output);
		const answer = await sendChange(client, {call, schema: ZoneStateOutcome}, requestId, output);
		return answer.isOk ? reportOutcome(answer.value) : reportChangeFailure(answer.error, requestId);
	}
}
