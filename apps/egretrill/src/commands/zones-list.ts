import {FleetStatus, operations} from '@egretrill/operators';
import {Command, type CommandHelp, connectionOptions} from '../command.js';
import type {AdminConnector} from '../connector.js';
import {reportDone, reportReadFailure} from '../reports.js';
import {formatTable} from '../table.js';
import {ConnectionArgs, type Report} from '../types.js';

/** Lists the zones. */
export class ZonesListCommand extends Command<typeof ConnectionArgs> {
	readonly help: CommandHelp = {
		usage: 'list',
		summary: 'Lists the zones with their states and hosts',
		examples: [['zones list', 'Show which zones are in service']],
	};

	readonly schema = ConnectionArgs;
	override readonly options = connectionOptions;

	constructor(private readonly connector: AdminConnector) {
		super();
	}

	async run(args: ConnectionArgs): Promise<Report> {
		const client = await this.connector.connect(args);
		const answer = await client.call({operation: operations.getStatus}, FleetStatus);
		if (answer.isErr) {
			return reportReadFailure(answer.error);
		}

		const {zones, hosts} = answer.value;
		const rows = zones.map(({id, region, state}) => {
			const own = hosts.filter(host => host.zone === id);
			return [id, region, state, `${own.filter(host => host.ready).length} of ${own.length}`];
		});
		return reportDone(formatTable(['ZONE', 'REGION', 'STATE', 'READY HOSTS'], rows), {zones});
	}
}
