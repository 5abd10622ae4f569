import type {PeerHost, Settings} from '@egretrill/common';
import {PeerClient} from '@egretrill/hosts';
import type {ChannelCredentials} from '@grpc/grpc-js';

/** Connections to the other hosts that this one talks to, opened when first used. */
export class PeerDirectory {
	private readonly clients = new Map<string, PeerClient>();

	constructor(private readonly settings: Settings, private readonly credentials: ChannelCredentials) {}

	getPeers(): readonly PeerHost[] {
		return this.settings.peers.filter(peer => peer.id !== this.settings.host);
	}

	getPeer(hostId: string): PeerHost | undefined {
		return this.settings.peers.find(peer => peer.id === hostId);
	}

	getClient(hostId: string): PeerClient | undefined {
		const peer = this.getPeer(hostId);
		if (!peer) {
			return undefined;
		}

		const existing = this.clients.get(hostId);
		if (existing) {
			return existing;
		}

		const client = new PeerClient(peer.address, this.credentials);
		this.clients.set(hostId, client);
		return client;
	}

	close(): void {
		for (const client of this.clients.values()) {
			client.close();
		}
	}
}
