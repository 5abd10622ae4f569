import type {Metrics} from '@egretrill/balancer';
import type {Logger} from '@egretrill/common';
import {ConnectionLog, type ReplacedConnection} from '@egretrill/hosts';

/** Counts and logs the connections to other hosts that are replaced. */
export class ConnectionMetrics extends ConnectionLog {
	private readonly replaced;

	constructor(logger: Logger, metrics: Metrics) {
		super(logger);
		this.replaced = metrics.createCounter({name: 'egretrill_peer_connections_replaced_total', help: 'Connections to other hosts that were replaced since they were silent.', labels: ['reason']});
	}

	override recordReplaced(connection: ReplacedConnection): void {
		super.recordReplaced(connection);
		this.replaced.add(1, {reason: connection.reason});
	}
}
