import {
	FleetStatus, operations, TargetList, type TargetStatus,
} from '@egretrill/operators';
import type {AdminClient} from '../admin-client.js';
import type {CommandHelp} from '../command.js';
import {ReadCommand} from '../read-command.js';
import {reportDone, reportReadFailure} from '../reports.js';
import {formatTable} from '../table.js';
import type {Report} from '../types.js';

/** Formats targets as a table. */
export function formatTargets(targets: readonly TargetStatus[]): string {
	return formatTable(
		['TARGET', 'ZONE', 'KIND', 'STATE', 'RUNNING', 'WAITING', 'LIMIT', 'MODELS'],
		targets.map(({id, zone, kind, service, state, load, resident}) => [
			id, zone, service ?? kind, state, String(load.running), String(load.waiting), String(load.limit), resident.map(({model, version}) => `${model}@${version}`).join(' '),
		]),
	);
}

function formatFlag(flag: boolean): string {
	return flag ? 'yes' : 'no';
}

function formatHosts({hosts, leader}: FleetStatus): string {
	return formatTable(['HOST', 'ZONE', 'LIVE', 'READY', 'VOTES', 'IN FORCE', 'NOTES'], hosts.map(({id, zone, live, ready, votes, version, reasons}) => {
		const vote = votes === undefined ? '-' : formatFlag(votes);
		return [id, zone, formatFlag(live), formatFlag(ready), vote, version === 0 ? 'unknown' : String(version), [...(id === leader ? ['leader'] : []), ...reasons].join('; ')];
	}));
}

function formatStatus(status: FleetStatus, targets: readonly TargetStatus[]): string {
	const {inForce, zones, host} = status;
	const version = inForce ? `Version ${inForce.version} by ${inForce.author} is in force` : 'No configuration is in force';
	return [
		`${version}, as ${host} sees it.`,
		formatTable(['ZONE', 'REGION', 'STATE'], zones.map(({id, region, state}) => [id, region, state])),
		formatHosts(status),
		formatTargets(targets),
	].join('\n\n');
}

/** Shows the fleet as one host sees it. */
export class StatusCommand extends ReadCommand {
	readonly help: CommandHelp = {
		usage: 'status',
		summary: 'Shows zones, hosts and targets, and which version is in force where',
		examples: [['status --admin 127.0.0.1:7004', 'Show the fleet as this host sees it']],
	};

	protected override async runOn(client: AdminClient): Promise<Report> {
		const status = await client.call({operation: operations.getStatus}, FleetStatus);
		if (status.isErr) {
			return reportReadFailure(status.error);
		}

		const list = await client.call({operation: operations.getTargets}, TargetList);
		return list.isErr
			? reportReadFailure(list.error)
			: reportDone(formatStatus(status.value, list.value.targets), {...status.value, ...list.value});
	}
}
