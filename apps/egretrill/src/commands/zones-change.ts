import {Zone, type ZoneState} from '@egretrill/common';
import {operations, ZoneStateOutcome, type Unavailable} from '@egretrill/operators';
import {z} from 'zod';
import {changeOptions, Command, type CommandHelp} from '../command.js';
import type {AdminConnector} from '../connector.js';
import type {Output} from '../output.js';
import {
	reportAccepted, reportConflict, reportChangeFailure, reportRefused,
} from '../reports.js';
import {chooseRequestId, sendChange} from '../send-change.js';
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

/** Changes the state of a zone. */
abstract class ZoneChangeCommand extends Command<typeof ZoneArgs> {
	readonly schema = ZoneArgs;
	override readonly positionals = {zone: {type: 'string', describe: 'Id of the zone'}} as const;
	override readonly options = changeOptions;

	constructor(private readonly connector: AdminConnector, private readonly state: ZoneState) {
		super();
	}

	async run(args: z.infer<typeof ZoneArgs>, output: Output): Promise<Report> {
		const client = await this.connector.connect(args);
		const call = {operation: operations.setZoneState, params: {id: args.zone}, body: {state: this.state}};
		const requestId = chooseRequestId(args, output);
		const answer = await sendChange(client, {call, schema: ZoneStateOutcome}, requestId, output);
		return answer.isOk ? reportOutcome(answer.value) : reportChangeFailure(answer.error, requestId);
	}
}

/** Takes a zone out of service. */
export class ZonesTakeOutCommand extends ZoneChangeCommand {
	readonly help: CommandHelp = {
		usage: 'take-out <zone>',
		summary: 'Takes a zone out of service; the last zone in service is refused',
		examples: [['zones take-out ma-nord-a', 'Stop new work in the zone within 2 s']],
	};

	constructor(connector: AdminConnector) {
		super(connector, 'taken-out');
	}
}

/** Returns a zone to service. */
export class ZonesReturnCommand extends ZoneChangeCommand {
	readonly help: CommandHelp = {
		usage: 'return <zone>',
		summary: 'Returns a zone to service',
		examples: [['zones return ma-nord-a', 'Let the zone take work again']],
	};

	constructor(connector: AdminConnector) {
		super(connector, 'in-service');
	}
}
