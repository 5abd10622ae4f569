import {
	type Announcement, type Clock, jitter, type Logger, type PeerHost, type Random, type Settings,
} from '@egretrill/common';
import type {TargetDirectory} from '@egretrill/engines';
import type {PeerDirectory} from '@egretrill/hosts';
import {DIRECTORY_SYNC_INTERVAL_MS, SUMMARY_SYNC_INTERVAL_MS} from '../constants.js';
import {announceMethod, digestMethod, summaryMethod} from '../methods.js';

export type DirectorySyncOptions = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly peers: PeerDirectory;
	readonly directory: TargetDirectory;
};

/** Exchanges the target directory with the directory hosts of the zone and with other zones. */
export class DirectorySync {
	private readonly zoneOwners = new Map<string, string>();

	constructor(private readonly opts: DirectorySyncOptions) {}

	/** The host that owns a zone, as its directory hosts last said. */
	getZoneOwner(zone: string): string | undefined {
		return this.zoneOwners.get(zone);
	}

	/** Takes an announcement that reached this host and passes it on to the zone's directory hosts. */
	async acceptAnnouncement(announcement: Announcement): Promise<void> {
		const {directory, peers, settings} = this.opts;
		directory.recordAnnouncement(announcement);
		const directoryHosts = peers.getDirectoryHosts(settings.zone);
		if (directoryHosts.some(peer => peer.id === settings.host)) {
			return;
		}

		await Promise.all(directoryHosts.map(async peer => peers.call(peer.id, announceMethod, {announcement})));
	}

	/** Runs one task for each zone until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {settings} = this.opts;
		const otherZones = new Set(settings.peers.map(peer => peer.zone).filter(zone => zone !== settings.zone));
		await Promise.all([
			...Array.from({length: 2}, async (_, rank) => this.followDirectoryHost(rank, signal)),
			...[...otherZones].map(async zone => this.followZone(zone, signal)),
		]);
	}

	/** Follows the directory host of the own zone that stands at a rank. */
	private async followDirectoryHost(rank: number, signal: AbortSignal): Promise<void> {
		const {clock, random, peers, settings} = this.opts;
		while (!signal.aborted) {
			const peer = peers.getDirectoryHosts(settings.zone)[rank];
			if (peer && peer.id !== settings.host) {
				await this.readDigest(peer);
			}

			await clock.sleep(jitter(DIRECTORY_SYNC_INTERVAL_MS, random), signal);
		}
	}

	private async readDigest(peer: PeerHost): Promise<void> {
		const {clock, directory, peers, settings} = this.opts;
		const sentMs = clock.now();
		const position = directory.getDigestPosition(peer.id);
		const answer = await peers.call(peer.id, digestMethod, position ? {position} : {});
		this.noteOwner(settings.zone, answer.isOk ? answer.value.owner : undefined);
		if (answer.isOk && !directory.recordDigest(peer.id, answer.value.digest, clock.now() - sentMs)) {
			const full = await peers.call(peer.id, digestMethod, {});
			if (full.isOk) {
				directory.recordDigest(peer.id, full.value.digest, clock.now() - sentMs);
			}
		}
	}

	private async followZone(zone: string, signal: AbortSignal): Promise<void> {
		const {clock, random, peers, directory} = this.opts;
		while (!signal.aborted) {
			const sentMs = clock.now();
			const [peer] = peers.getDirectoryHosts(zone);
			const answer = peer && await peers.call(peer.id, summaryMethod, {zone});
			if (answer?.isOk) {
				this.noteOwner(zone, answer.value.owner);
				directory.recordSummary(answer.value.summary, clock.now() - sentMs);
			}

			await clock.sleep(jitter(SUMMARY_SYNC_INTERVAL_MS, random), signal);
		}
	}

	private noteOwner(zone: string, owner: string | undefined): void {
		if (owner !== undefined) {
			this.zoneOwners.set(zone, owner);
		}
	}
}
