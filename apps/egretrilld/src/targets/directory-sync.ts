import {
	type Announcement, type Clock, jitter, type Logger, type PeerHost, type Random, type Settings,
} from '@egretrill/common';
import type {DemandEstimator, PrefixCacheEstimate, TargetDirectory} from '@egretrill/engines';
import type {PeerDirectory} from '@egretrill/hosts';
import {
	DEMAND_REPORT_INTERVAL_MS, DIRECTORY_SYNC_INTERVAL_MS, SECONDARY_DIRECTORY_SYNC_INTERVAL_MS, SUMMARY_SYNC_INTERVAL_MS,
} from '../constants.js';
import {
	announceMethod, demandMethod, digestMethod, summaryMethod,
} from '../methods.js';

export type DirectorySyncOptions = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly peers: PeerDirectory;
	readonly directory: TargetDirectory;
	readonly prefixCache: PrefixCacheEstimate;
	readonly demand: DemandEstimator;
	/** Number of requests waiting on this host, by model. */
	readonly getWaiting: () => ReadonlyMap<string, number>;
	/** Holder of the lease on this host's zone, as of this host's last lease request. */
	readonly getOwnLeaseHolder: () => string | undefined;
};

/** Synchronizes the target directory with the directory hosts of this zone and of other zones. */
export class DirectorySync {
	private readonly zoneOwners = new Map<string, string>();
	private isPrimaryReachable = false;

	constructor(private readonly opts: DirectorySyncOptions) {}

	/** The host that owns a zone, as last reported by the zone's directory hosts. */
	getZoneOwner(zone: string): string | undefined {
		return this.zoneOwners.get(zone);
	}

	/** Records an announcement from a target, received directly or forwarded by another host. */
	recordAnnouncement(announcement: Announcement): void {
		const {targetId, startId, cacheEvents} = announcement;
		this.opts.directory.recordAnnouncement(announcement);
		if (cacheEvents) {
			this.opts.prefixCache.recordEvents(targetId, startId, cacheEvents);
		}
	}

	/** Records an announcement that a target sent to this host and forwards it to the zone's directory hosts. */
	async acceptAnnouncement(announcement: Announcement): Promise<void> {
		const {peers, settings} = this.opts;
		this.recordAnnouncement(announcement);
		const directoryHosts = peers.getDirectoryHosts(settings.zone);
		if (directoryHosts.some(peer => peer.id === settings.host)) {
			return;
		}

		await Promise.all(directoryHosts.map(async peer => peers.call(peer.id, announceMethod, {announcement})));
	}

	/** Runs one task for each directory host of this zone, one for each other zone and one for demand reports, until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {settings} = this.opts;
		const otherZones = new Set(settings.peers.map(peer => peer.zone).filter(zone => zone !== settings.zone));
		await Promise.all([
			...Array.from({length: 2}, async (_, rank) => this.followDirectoryHost(rank, signal)),
			...[...otherZones].map(async zone => this.followZone(zone, signal)),
			this.reportDemand(signal),
		]);
	}

	/** Polls the directory host of this zone with the given rank. */
	private async followDirectoryHost(rank: number, signal: AbortSignal): Promise<void> {
		const {clock, random, peers, settings} = this.opts;
		while (!signal.aborted) {
			const peer = peers.getDirectoryHosts(settings.zone)[rank];
			if (peer?.id === settings.host) {
				this.recordOwner(settings.zone, this.opts.getOwnLeaseHolder());
				this.isPrimaryReachable ||= rank === 0;
			} else if (peer) {
				const isReachable = await this.readDigest(peer);
				this.isPrimaryReachable = rank === 0 ? isReachable : this.isPrimaryReachable;
			}

			const intervalMs = rank === 0 || !this.isPrimaryReachable ? DIRECTORY_SYNC_INTERVAL_MS : SECONDARY_DIRECTORY_SYNC_INTERVAL_MS;
			await clock.sleep(jitter(intervalMs, random), signal);
		}
	}

	private async readDigest(peer: PeerHost): Promise<boolean> {
		const {clock, directory, peers, settings} = this.opts;
		const sentMs = clock.now();
		const position = directory.getDigestPosition(peer.id);
		const answer = await peers.call(peer.id, digestMethod, position ? {position} : {});
		this.recordOwner(settings.zone, answer.isOk ? answer.value.owner : undefined);
		if (answer.isOk && !directory.recordDigest(peer.id, answer.value.digest, clock.now() - sentMs)) {
			const fullDigest = await peers.call(peer.id, digestMethod, {});
			if (fullDigest.isOk) {
				directory.recordDigest(peer.id, fullDigest.value.digest, clock.now() - sentMs);
			}
		}

		return answer.isOk;
	}

	private async followZone(zone: string, signal: AbortSignal): Promise<void> {
		const {clock, random, peers, directory} = this.opts;
		while (!signal.aborted) {
			const sentMs = clock.now();
			const [peer] = peers.getDirectoryHosts(zone);
			const answer = peer && await peers.call(peer.id, summaryMethod, {zone});
			if (answer?.isOk) {
				this.recordOwner(zone, answer.value.owner);
				directory.recordSummary(answer.value.summary, clock.now() - sentMs);
			}

			await clock.sleep(jitter(SUMMARY_SYNC_INTERVAL_MS, random), signal);
		}
	}

	/** Reports the demand at this host to the zone's owner. */
	private async reportDemand(signal: AbortSignal): Promise<void> {
		const {clock, random, peers, settings, demand, getWaiting} = this.opts;
		while (!signal.aborted) {
			const owner = this.getZoneOwner(settings.zone);
			const reports = demand.report(clock.now(), getWaiting());
			if (owner !== undefined && reports.length > 0) {
				await peers.call(owner, demandMethod, {hostId: settings.host, reports: [...reports]});
			}

			await clock.sleep(jitter(DEMAND_REPORT_INTERVAL_MS, random), signal);
		}
	}

	private recordOwner(zone: string, owner: string | undefined): void {
		if (owner !== undefined) {
			this.zoneOwners.set(zone, owner);
		}
	}
}
