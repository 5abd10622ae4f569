import type {Clock} from '@egretrill/common';
import type {Result} from 'true-myth';
import {
	type ConnectionObserver, type Method, type PeerCallError, PeerClient, type PeerCredentials, SilenceRecord,
} from '../transport/index.js';
import {PeerCaller} from './peer-caller.js';

/** A control host that was discovered through the seeds; its id is its peer address. */
export type ControlHost = {readonly id: string; readonly zone?: string};

export type ControlPeersOptions = {
	readonly selfId?: string;
	readonly seedIds: readonly string[];
	readonly clock: Clock;
	readonly credentials: PeerCredentials;
	readonly observer?: ConnectionObserver;
};

/** Connections to control hosts in a fleet without a fixed host list: the first are found through the seeds, the others through those. */
export class ControlPeers extends PeerCaller {
	private readonly clients = new Map<string, PeerClient>();
	private readonly silence = new SilenceRecord();
	private knownHosts: readonly ControlHost[];
	private seedIds: readonly string[];

	constructor(private readonly opts: ControlPeersOptions) {
		super();
		this.seedIds = opts.seedIds;
		this.knownHosts = opts.seedIds.map(id => ({id}));
	}

	/** Replaces the known control hosts with a list received from one of them; the seeds stay at its end as a fallback. */
	setKnownHosts(hosts: readonly ControlHost[]): void {
		const ids = new Set(hosts.map(({id}) => id));
		this.knownHosts = [...hosts, ...this.seedIds.filter(id => !ids.has(id)).map(id => ({id}))];
	}

	/** Replaces the seeds after a change of the settings. */
	setSeeds(seedIds: readonly string[]): void {
		this.seedIds = seedIds;
		this.setKnownHosts(this.knownHosts);
	}

	/** Control hosts other than this one. */
	getOthers(): readonly ControlHost[] {
		return this.knownHosts.filter(({id}) => id !== this.opts.selfId);
	}

	override getVoterIds(): readonly string[] {
		return this.knownHosts.map(({id}) => id);
	}

	override async call<Req, Res>(hostId: string, method: Method<Req, Res>, req: Req, deadlineMs?: number): Promise<Result<Res, PeerCallError>> {
		const existing = this.clients.get(hostId);
		const client = existing ?? new PeerClient(hostId, this.opts.credentials.client, this.opts.clock, {silence: this.silence, observer: this.opts.observer});
		this.clients.set(hostId, client);
		return client.call(method, req, deadlineMs);
	}

	close(): void {
		for (const client of this.clients.values()) {
			client.close();
		}
	}
}
