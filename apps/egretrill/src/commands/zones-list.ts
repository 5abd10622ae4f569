import {FleetStatus, operations} from '@egretrill/operators';
import type {AdminClient} from '../admin-client.js';
import type {CommandHelp} from '../command.js';
import {ReadCommand} from '../read-command.js';
import {reportDone, reportReadFailure} from '../reports.js';
import {formatTable} from '../table.js';
import type {Report} from '../types.js';

/** Lists the zones. */
export class ZonesListCommand extends ReadCommand {
	readonly help: CommandHelp = {
		usage: 'list',
		summary: 'Lists the zones with their states and hosts',
		examples: [['zones list', 'Show which zones are in service']],
	};

	protected override async runOn(client: AdminClient): Promise<Report> {
		const answer = await client.call({operation: operations.getStatus}, FleetStatus);
		if (answer.isErr) {
			return reportReadFailure(answer.error);
		}

		const {zones, hosts} = answer.value;
		const rows = zones.map(({id, region, state}) => {
			const zoneHosts = hosts.filter(host => host.zone === id);
			return [id, region, state, `${zoneHosts.filter(host => host.ready).length} of ${zoneHosts.length}`];
		});
		return reportDone(formatTable(['ZONE', 'REGION', 'STATE', 'READY HOSTS'], rows), {zones});
	}
}
