import {randomUUID} from 'node:crypto';
import type {Clock, Logger} from '@egretrill/common';
import type {FleetLog, FleetNode} from '@egretrill/hosts';
import {
	JOIN_RETRY_MS, LEAVE_TIMEOUT_MS, MEMBER_CHECK_INTERVAL_MS, MEMBER_TIMEOUT_MS,
} from './constants.js';
import type {ControlGossip} from './control-gossip.js';
import type {ControlSettings} from './settings.js';

export type MembershipOptions = {
	readonly hostId: string;
	readonly settings: Pick<ControlSettings, 'host' | 'zone' | 'minVoters' | 'maxVoters'>;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly node: Pick<FleetNode, 'status' | 'isLeaderWithLease'>;
	readonly log: Pick<FleetLog, 'propose'>;
	readonly gossip: Pick<ControlGossip, 'leaderMemberIds' | 'getContactAgeMs'>;
	/** Whether the log holds a request to remove this host, which the leader carries out once enough other voters run. */
	readonly isRemovalRequested: () => boolean;
};

/** Keeps the members of the log up to date with the running control hosts. */
export class Membership {
	constructor(private readonly opts: MembershipOptions) {}

	/** Requests membership while this host is not among the members reported by the leader, or is to be removed. */
	async join(signal: AbortSignal): Promise<void> {
		const {clock, gossip, hostId, log, logger, settings} = this.opts;
		while (!signal.aborted) {
			await clock.sleep(JOIN_RETRY_MS, signal);
			const memberIds = gossip.leaderMemberIds;
			if (signal.aborted || memberIds === undefined || !this.isJoinNeeded(memberIds) || this.opts.node.isLeaderWithLease()) {
				continue;
			}

			const member = {
				id: hostId, zone: settings.zone, region: settings.zone, address: hostId, voter: true,
			};
			const outcome = await log.propose({
				kind: 'addMember', member, requestId: randomUUID(), author: settings.host,
			}, JOIN_RETRY_MS * 4);
			logger.info({outcome: outcome.kind, memberIds}, 'This host requested membership of the log.');
			await clock.sleep(JOIN_RETRY_MS * 2, signal);
		}
	}

	/** As leader, removes a member that has been unresponsive for longer than the timeout, if enough other voters remain. */
	async removeUnresponsive(signal: AbortSignal): Promise<void> {
		const {clock, gossip, log, logger, node, settings} = this.opts;
		while (!signal.aborted) {
			await clock.sleep(MEMBER_CHECK_INTERVAL_MS, signal);
			const {members} = node.status();
			const unresponsive = members.find(({id}) => gossip.getContactAgeMs(id) > MEMBER_TIMEOUT_MS);
			const responsive = members.filter(({id, role}) => gossip.getContactAgeMs(id) <= MEMBER_TIMEOUT_MS && role === 'voter');
			if (unresponsive && node.isLeaderWithLease() && responsive.length >= settings.minVoters) {
				const outcome = await log.propose({
					kind: 'removeMember', memberId: unresponsive.id, requestId: randomUUID(), author: settings.host,
				});
				logger.info({memberId: unresponsive.id, living: responsive.length, outcome: outcome.kind}, 'An unresponsive member was removed from the log.');
			}
		}
	}

	/** Removes this host from the log before it stops if enough other voters remain; after a restart it requests membership again. */
	async leave(): Promise<void> {
		const {clock, hostId, log, logger, node, settings} = this.opts;
		const {members} = node.status();
		const others = members.filter(({id, role}) => id !== hostId && role === 'voter');
		if (!members.some(({id}) => id === hostId) || others.length < settings.minVoters) {
			return;
		}

		const removal = log.propose({
			kind: 'removeMember', memberId: hostId, requestId: randomUUID(), author: settings.host,
		}, LEAVE_TIMEOUT_MS);
		const outcome = await Promise.race([removal, clock.sleep(LEAVE_TIMEOUT_MS)]);
		logger.info({others: others.length, outcome: outcome?.kind ?? 'timeout'}, 'This host requested its removal from the log.');
	}

	private isJoinNeeded(memberIds: readonly string[]): boolean {
		const {hostId, isRemovalRequested, settings} = this.opts;
		return memberIds.includes(hostId) ? isRemovalRequested() : memberIds.length < settings.maxVoters;
	}
}
