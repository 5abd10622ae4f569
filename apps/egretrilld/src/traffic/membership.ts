import {randomUUID} from 'node:crypto';
import type {Clock, Logger} from '@egretrill/common';
import type {FleetLog, FleetNode} from '@egretrill/hosts';
import {
	JOIN_RETRY_MS, LEAVE_CHECK_INTERVAL_MS, LEAVE_TIMEOUT_MS, MAX_LEAVE_MS, MEMBER_CHECK_INTERVAL_MS, MEMBER_REMOVAL_TIMEOUT_MS, MEMBER_TIMEOUT_MS,
	SUCCESSOR_CATCH_UP_TIMEOUT_MS, SUCCESSOR_CONTACT_TIMEOUT_MS,
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
	readonly gossip: Pick<ControlGossip, 'leaderMemberIds' | 'contactIds' | 'getContactAgeMs'>;
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
				}, MEMBER_REMOVAL_TIMEOUT_MS);
				logger.info({memberId: unresponsive.id, living: responsive.length, outcome: outcome.kind}, 'An unresponsive member was removed from the log.');
			}
		}
	}

	/**
	 * Removes this host from the log before it stops, once enough other voters remain; after a restart it requests membership
	 * again. A host that replaces this one may not be a voter yet: this host waits for it, since otherwise it would stay among
	 * the voters after its end.
	 */
	async leave(): Promise<void> {
		const {clock, hostId, log, logger, node, settings} = this.opts;
		const endMs = clock.now() + MAX_LEAVE_MS;
		const getTimeoutMs = (): number => Math.max(0, Math.min(LEAVE_TIMEOUT_MS, endMs - clock.now()));
		if (!node.status().members.some(({id}) => id === hostId) || !await this.waitForOtherVoters()) {
			return;
		}

		const timeoutMs = getTimeoutMs();
		const removal = log.propose({
			kind: 'removeMember', memberId: hostId, requestId: randomUUID(), author: settings.host,
		}, timeoutMs);
		const outcome = await Promise.race([removal, clock.sleep(timeoutMs)]);
		logger.info({others: this.countOtherVoters(), outcome: outcome?.kind ?? 'timeout'}, 'This host requested its removal from the log.');
		// A leader replicates its own removal; it stops leading once that is committed.
		await this.waitUntil(() => node.status().role !== 'leader', getTimeoutMs());
	}

	/** Waits for a host that replaces this one, and for it to become a voter; returns whether enough other voters remain. */
	private async waitForOtherVoters(): Promise<boolean> {
		const {minVoters} = this.opts.settings;
		await this.waitUntil(() => this.countRunningOthers() >= minVoters, SUCCESSOR_CONTACT_TIMEOUT_MS);
		if (this.countRunningOthers() >= minVoters) {
			await this.waitUntil(() => this.countOtherVoters() >= minVoters, SUCCESSOR_CATCH_UP_TIMEOUT_MS);
		}

		return this.countOtherVoters() >= minVoters;
	}

	private countRunningOthers(): number {
		const {gossip, hostId} = this.opts;
		return gossip.contactIds.filter(id => id !== hostId && gossip.getContactAgeMs(id) <= MEMBER_TIMEOUT_MS).length;
	}

	private countOtherVoters(): number {
		return this.opts.node.status().members.filter(({id, role}) => id !== this.opts.hostId && role === 'voter').length;
	}

	private async waitUntil(isReached: () => boolean, timeoutMs: number): Promise<void> {
		const {clock} = this.opts;
		const endMs = clock.now() + timeoutMs;
		while (!isReached() && clock.now() < endMs) {
			await clock.sleep(LEAVE_CHECK_INTERVAL_MS);
		}
	}

	private isJoinNeeded(memberIds: readonly string[]): boolean {
		const {hostId, isRemovalRequested, settings} = this.opts;
		return memberIds.includes(hostId) ? isRemovalRequested() : memberIds.length < settings.maxVoters;
	}
}
