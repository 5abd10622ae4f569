import type {Clock} from '@egretrill/common';
import type {
	ControlPeers, FleetLog, FleetNode, FleetState,
} from '@egretrill/hosts';
import {ZONE_ORDER_DEADLINE_MS, ZONE_ORDER_RETRY_MS} from './constants.js';
import {readZoneOrdersMethod} from './methods.js';

export type ZoneOrdersOptions = {
	readonly hostId: string;
	readonly clock: Clock;
	readonly node: Pick<FleetNode, 'isLeaderWithLease'>;
	readonly state: Pick<FleetState, 'getZoneOrderCount'>;
	readonly log: Pick<FleetLog, 'propose'>;
	readonly peers: Pick<ControlPeers, 'call'>;
	readonly getLeaderId: () => string | undefined;
};

/** Outcome of an order for a zone; an unconfirmed one may take effect only as long as no other order for the zone does. */
export type ZoneOrderOutcome = 'applied' | 'overtaken' | 'unconfirmed';

/** What the leader says about the orders for a zone. A leader of an older build does not count them. */
type Position = {readonly kind: 'counted'; readonly orderCount: number} | {readonly kind: 'uncounted'} | {readonly kind: 'unknown'};

/**
 * Gives orders for zones. An order names how many orders for the zone the leader had applied before, so that it takes no effect if it reaches the log after a
 * later one.
 */
export class ZoneOrders {
	constructor(private readonly opts: ZoneOrdersOptions) {}

	/** Takes a zone out of service or returns it to service; sends nothing once the signal aborts or the deadline has passed. */
	async order(zone: string, isInService: boolean, signal: AbortSignal): Promise<ZoneOrderOutcome> {
		const {clock, log} = this.opts;
		const endMs = clock.now() + ZONE_ORDER_DEADLINE_MS;
		const position = await this.waitForPosition(zone, endMs, signal);
		if (position.kind === 'unknown' || signal.aborted || clock.now() >= endMs) {
			return 'unconfirmed';
		}

		const follows = position.kind === 'counted' ? {follows: position.orderCount} : {};
		const outcome = await log.propose({
			kind: 'setZoneService', zone, isInService, ...follows,
		}, endMs - clock.now());
		if (outcome.kind !== 'committed') {
			return 'unconfirmed';
		}

		return outcome.result.kind === 'refused' ? 'overtaken' : 'applied';
	}

	/** Returns the number of applied orders for a zone if this host leads. */
	handleRead(zone: string): {orderCount?: number} {
		const {node, state} = this.opts;
		return node.isLeaderWithLease() ? {orderCount: state.getZoneOrderCount(zone)} : {};
	}

	private async waitForPosition(zone: string, endMs: number, signal: AbortSignal): Promise<Position> {
		const {clock} = this.opts;
		while (clock.now() < endMs && !signal.aborted) {
			const position = await this.readPosition(zone);
			if (position.kind !== 'unknown') {
				return position;
			}

			await clock.sleep(ZONE_ORDER_RETRY_MS, signal);
		}

		return {kind: 'unknown'};
	}

	private async readPosition(zone: string): Promise<Position> {
		const {hostId, getLeaderId, peers} = this.opts;
		const leaderId = getLeaderId();
		if (leaderId === undefined) {
			return {kind: 'unknown'};
		}

		if (leaderId === hostId) {
			return toPosition(this.handleRead(zone).orderCount);
		}

		const answer = await peers.call(leaderId, readZoneOrdersMethod, {zone});
		if (answer.isErr) {
			return answer.error.code === 'failed' ? {kind: 'uncounted'} : {kind: 'unknown'};
		}

		return toPosition(answer.value.orderCount);
	}
}

function toPosition(orderCount: number | undefined): Position {
	return orderCount === undefined ? {kind: 'unknown'} : {kind: 'counted', orderCount};
}
