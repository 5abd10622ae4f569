import {
	type Clock, jitter, type Logger, type Random,
} from '@egretrill/common';
import type {TargetRegistry} from '@egretrill/engines';
import type {ControlPeers, FleetNode} from '@egretrill/hosts';
import {GOSSIP_INTERVAL_MS, JOIN_RETRY_MS} from './constants.js';
import {gossipMethod} from './methods.js';
import {RateLimitedLog} from './rate-limited-log.js';
import type {TrafficConfirmation} from './traffic-confirmation.js';
import type {RegistrySettling} from './registry-settling.js';
import {SKIPPED_ENTRIES_MESSAGE, warnOfSkippedEntries} from './skipped-entries.js';

export type ControlGossipOptions = {
	readonly hostId: string;
	readonly zone: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly node: FleetNode;
	readonly peers: ControlPeers;
	readonly registry: TargetRegistry;
	readonly settling: RegistrySettling;
	readonly confirmation: TrafficConfirmation;
};

type Contact = {readonly zone: string; readonly readsDuties: boolean; readonly lastContactMs: number};

/** Exchanges registrations, members and the current leader among the control hosts. */
export class ControlGossip {
	/** Leader last reported by another host, for hosts that are not members of the log. */
	leaderHint: string | undefined;
	/** Members last reported by the leader itself. */
	leaderMemberIds: readonly string[] | undefined;
	private readonly contacts = new Map<string, Contact>();
	private readonly startedMs: number;
	private readonly skippedEntries: RateLimitedLog;

	constructor(private readonly opts: ControlGossipOptions) {
		this.skippedEntries = new RateLimitedLog(opts.clock, opts.logger, SKIPPED_ENTRIES_MESSAGE);
		this.startedMs = opts.clock.now();
	}

	/** Records a call or an answer from another control host. */
	recordContact(id: string, zone: string, readsDuties = false): void {
		this.contacts.set(id, {zone, readsDuties, lastContactMs: this.opts.clock.now()});
	}

	/** Whether no member of the log is known to be of a build that cannot read the entries of the duties. */
	canRecordDuties(): boolean {
		return this.opts.node.status().members.every(({id}) => this.contacts.get(id)?.readsDuties ?? true);
	}

	getZone(id: string): string | undefined {
		return id === this.opts.hostId ? this.opts.zone : this.contacts.get(id)?.zone;
	}

	/** Control hosts that this host has been in contact with since its start. */
	get contactIds(): readonly string[] {
		return [...this.contacts.keys()];
	}

	/** Time since the last contact with a control host, or since this host started if there was none. */
	getContactAgeMs(id: string): number {
		return id === this.opts.hostId ? 0 : this.opts.clock.now() - (this.contacts.get(id)?.lastContactMs ?? this.startedMs);
	}

	/** Runs one task for each other control host until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const tasks = new Map<string, Promise<void>>();
		while (!signal.aborted) {
			for (const {id} of this.opts.peers.getOthers()) {
				if (!tasks.has(id)) {
					tasks.set(id, this.gossipWith(id, signal));
				}
			}

			await this.opts.clock.sleep(JOIN_RETRY_MS, signal);
		}

		await Promise.all(tasks.values());
	}

	private async gossipWith(id: string, signal: AbortSignal): Promise<void> {
		const {clock, hostId, logger, node, peers, random, registry, settling, confirmation, zone} = this.opts;
		let knownRegistry = {origin: '', revision: 0};
		let isReachable = false;
		while (!signal.aborted) {
			const mark = confirmation.mark();
			const answer = await peers.call(id, gossipMethod, {
				hostId, zone, registry: knownRegistry, readsDuties: true,
			});
			if (answer.isOk !== isReachable) {
				isReachable = answer.isOk;
				logger.info({peer: id, ...(answer.isErr && {reason: answer.error.message})}, isReachable ? 'A control host answers.' : 'A control host does not answer.');
			}

			if (answer.isOk) {
				const {registry: update, isRegistrySettled = true, zone: peerZone, memberIds, leaderId, confirmedVersion, readsDuties} = answer.value;
				knownRegistry = {origin: update.origin, revision: update.revision};
				this.recordContact(id, peerZone, readsDuties);
				registry.merge(update.targets);
				settling.recordExchange(isRegistrySettled);
				warnOfSkippedEntries(this.skippedEntries, id, update);
				this.leaderHint = leaderId ?? this.leaderHint;
				if (confirmedVersion !== undefined) {
					confirmation.record(mark, confirmedVersion);
				}

				if (leaderId === id) {
					this.leaderMemberIds = memberIds;
				}

				const ids = new Set([...memberIds, ...node.status().members.map(member => member.id), ...this.contacts.keys()]);
				peers.setKnownHosts([...ids].map(other => ({id: other})));
			}

			await clock.sleep(jitter(GOSSIP_INTERVAL_MS, random), signal);
		}
	}
}
