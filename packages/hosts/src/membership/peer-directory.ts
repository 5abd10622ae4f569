import {createHash} from 'node:crypto';
import type {
	Clock, Logger, PeerHost, Settings,
} from '@egretrill/common';
import {Result} from 'true-myth';
import {DIRECTORY_HOSTS_PER_ZONE, PEER_RETRY_MS, PEER_SUSPECT_MS} from '../constants.js';
import {
	ConnectionLog, type Method, type PeerCallError, PeerClient, type PeerCredentials, SilenceRecord,
} from '../transport/index.js';
import {PeerCaller} from './peer-caller.js';

type FailureSpan = {readonly firstMs: number; readonly lastMs: number; readonly message: string};

function getRendezvousWeight(zone: string, hostId: string): string {
	return createHash('sha256').update(`${zone}/${hostId}`).digest('hex');
}

/** Connections to other hosts, opened on first use, with the failures of those that do not answer. */
export class PeerDirectory extends PeerCaller {
	private readonly clients = new Map<string, PeerClient>();
	private readonly silence = new SilenceRecord();
	private readonly observer: ConnectionLog;
	private readonly failures = new Map<string, FailureSpan>();
	private readonly rankedHostsByZone = new Map<string, readonly PeerHost[]>();

	constructor(private readonly settings: Settings, private readonly clock: Clock, private readonly credentials: PeerCredentials, private readonly logger: Logger) {
		super();
		this.observer = new ConnectionLog(logger);
	}

	getPeers(): readonly PeerHost[] {
		return this.settings.peers.filter(peer => peer.id !== this.settings.host);
	}

	override getVoterIds(): readonly string[] {
		return this.getVoters().map(({id}) => id);
	}

	getVoters(): readonly PeerHost[] {
		return this.settings.peers.filter(peer => peer.voter);
	}

	/**
	 * Hosts to follow, in order of preference. Voters follow the leader. In each zone, the first host in rendezvous order
	 * follows the voters and the other hosts follow it, so that additional hosts add load to it and not to the leader.
	 */
	getParents(leaderId: string | undefined): readonly PeerClient[] {
		const {host, zone} = this.settings;
		const voters = this.getVoters().filter(peer => peer.id !== host);
		const isVoter = this.getVoters().length > voters.length;
		const votersByProximity = voters.toSorted((a, b) => Number(b.zone === zone) - Number(a.zone === zone));
		const relay = this.getDirectoryHosts(zone)[0];
		const usesRelay = !isVoter && relay !== undefined && relay.id !== host && !relay.voter && votersByProximity[0]?.zone !== zone;
		const leader = isVoter ? voters.filter(peer => peer.id === leaderId) : [];
		const order = [...leader, ...(usesRelay ? [relay] : []), ...votersByProximity];
		return [...new Set(order.map(peer => peer.id))].map(id => this.getClient(id)).filter(client => client !== undefined);
	}

	/** Calls another host and records whether it answers. */
	override async call<Req, Res>(hostId: string, method: Method<Req, Res>, req: Req, deadlineMs?: number): Promise<Result<Res, PeerCallError>> {
		const client = this.getClient(hostId);
		if (!client) {
			return Result.err({code: 'unreachable', message: `The host ${hostId} is not in the settings.`});
		}

		const answer = await client.call(method, req, deadlineMs);
		if (answer.isOk || answer.error.code === 'failed') {
			this.failures.delete(hostId);
		} else {
			this.recordFailure(hostId, answer.error.message);
		}

		return answer;
	}

	/** True if a host has not answered for PEER_SUSPECT_MS; false again after PEER_RETRY_MS, so that it is retried. */
	isSuspected(hostId: string): boolean {
		const span = this.failures.get(hostId);
		return span !== undefined && span.lastMs - span.firstMs > PEER_SUSPECT_MS && this.clock.now() - span.lastMs < PEER_RETRY_MS;
	}

	/** The hosts that hold the target directory of a zone. Every host computes the same order and skips suspected hosts. */
	getDirectoryHosts(zone: string): readonly PeerHost[] {
		const ranked = this.getRankedHosts(zone);
		const answering = ranked.filter(peer => !this.isSuspected(peer.id));
		return (answering.length > 0 ? answering : ranked).slice(0, DIRECTORY_HOSTS_PER_ZONE);
	}

	getClient(hostId: string): PeerClient | undefined {
		const peer = this.settings.peers.find(candidate => candidate.id === hostId);
		if (!peer) {
			return undefined;
		}

		const existing = this.clients.get(hostId);
		if (existing) {
			return existing;
		}

		const client = new PeerClient(peer.address, this.credentials.client, this.clock, {silence: this.silence, observer: this.observer, channelOptions: {'grpc.ssl_target_name_override': hostId}});
		this.clients.set(hostId, client);
		return client;
	}

	close(): void {
		for (const client of this.clients.values()) {
			client.close();
		}
	}

	/** The order is cached: it depends only on the settings and is needed for every announcement and poll. */
	private getRankedHosts(zone: string): readonly PeerHost[] {
		const cached = this.rankedHostsByZone.get(zone);
		if (cached) {
			return cached;
		}

		const ranked = this.settings.peers
			.filter(peer => peer.zone === zone)
			.toSorted((a, b) => getRendezvousWeight(zone, a.id).localeCompare(getRendezvousWeight(zone, b.id)));
		this.rankedHostsByZone.set(zone, ranked);
		return ranked;
	}

	private recordFailure(hostId: string, message: string): void {
		const nowMs = this.clock.now();
		const span = this.failures.get(hostId);
		// Messages of exceeded deadlines contain the elapsed time, so each would be logged as a new reason.
		if (span === undefined || (span.message !== message && !message.startsWith('Deadline exceeded'))) {
			this.logger.warn({peer: hostId, reason: message}, 'A host does not answer.');
		}

		this.failures.set(hostId, {firstMs: span?.firstMs ?? nowMs, lastMs: nowMs, message});
	}
}
