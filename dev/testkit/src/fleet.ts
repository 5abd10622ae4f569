import {createHash} from 'node:crypto';
import {
	mkdir, mkdtemp, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {ConfigDocument, PeerHost, Settings} from '@egretrill/common';
import {stringify} from 'yaml';
import {DaemonProcess} from './daemon-process.js';
import {Link} from './link.js';
import {findPorts} from './ports.js';

export type FleetOptions = {
	readonly fleet: string;
	/** Zone of each host, in order; the first host of each zone is a voter. */
	readonly zones: readonly string[];
	readonly config: ConfigDocument;
	readonly settings?: Partial<Settings>;
	/** Arguments of Node that run the daemon; the entry point of the compiled modules if absent. */
	readonly nodeArgs?: readonly string[];
	/** Opens a relay between each ordered pair of hosts. */
	readonly hasLinks?: boolean;
	/** Prepares the files of one host and returns the settings that only it has. */
	readonly prepare?: (host: PeerHost, dir: string) => Promise<Partial<Settings>>;
};

/** The relay of the connections that one host opens to another. */
type HostLink = {readonly from: PeerHost; readonly to: PeerHost; readonly link: Link};

export const OPERATOR_KEY = 'operator-credential';
export const MONITOR_KEY = 'monitor-credential';

function getDigest(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

async function createPeers(opts: FleetOptions): Promise<readonly PeerHost[]> {
	const ports = await findPorts(opts.zones.length);
	return opts.zones.map((zone, i) => ({
		id: `host-${i + 1}`, zone, region: 'local', address: `127.0.0.1:${ports[i]}`, voter: opts.zones.indexOf(zone) === i,
	}));
}

async function createLinks(peers: readonly PeerHost[]): Promise<readonly HostLink[]> {
	const pairs = peers.flatMap(from => peers.filter(to => to.id !== from.id).map(to => ({from, to})));
	return Promise.all(pairs.map(async pair => ({...pair, link: await Link.open(pair.to.address)})));
}

/** Returns the peers with the addresses of the links through which one host reaches them. */
function getLinkedPeers(peers: readonly PeerHost[], links: readonly HostLink[], self: PeerHost): readonly PeerHost[] {
	return peers.map(to => ({...to, address: links.find(link => link.from.id === self.id && link.to.id === to.id)?.link.address ?? to.address}));
}

function createSettings(opts: FleetOptions, peers: readonly PeerHost[], self: PeerHost, dir: string): Partial<Settings> {
	const anyPort = '127.0.0.1:0';
	return {
		host: self.id,
		fleet: opts.fleet,
		region: self.region,
		zone: self.zone,
		listen: {
			callers: anyPort, targets: anyPort, peers: self.address, admin: anyPort, monitor: anyPort, health: anyPort,
		},
		peers: [...peers],
		plaintextLoopback: true,
		adminKeyDigest: getDigest(OPERATOR_KEY),
		monitorKeyDigest: getDigest(MONITOR_KEY),
		...(self.voter && {dataDir: path.join(dir, self.id)}),
		...opts.settings,
	};
}

/** A fleet of daemon processes on loopback. */
export class Fleet {
	/** Writes the settings of each host and starts all of them. */
	static async start(opts: FleetOptions): Promise<Fleet> {
		const dir = await mkdtemp(path.join(tmpdir(), 'egretrill-'));
		const peers = await createPeers(opts);
		const links = opts.hasLinks ? await createLinks(peers) : [];
		const configFile = path.join(dir, 'config.yaml');
		await writeFile(configFile, stringify(opts.config));
		const hosts = await Promise.all(peers.map(async self => {
			await mkdir(path.join(dir, self.id), {recursive: true});
			const file = path.join(dir, `${self.id}.yaml`);
			await writeFile(file, stringify({...createSettings(opts, getLinkedPeers(peers, links, self), self, dir), ...await opts.prepare?.(self, dir)}));
			return new DaemonProcess(self, file, configFile, opts.nodeArgs);
		}));
		const fleet = new Fleet(dir, hosts, links);
		await Promise.all(hosts.map(async host => host.start()));
		await Promise.all(hosts.map(async host => host.waitUntilReady()));
		return fleet;
	}

	private constructor(readonly dir: string, readonly hosts: readonly DaemonProcess[], private readonly links: readonly HostLink[]) {}

	getHost(index: number): DaemonProcess {
		const host = this.hosts[index];
		if (!host) {
			throw new Error(`The fleet has no host ${index}.`);
		}

		return host;
	}

	/** Returns the target addresses of the hosts of one zone. */
	getTargetAddresses(zone: string): readonly string[] {
		return this.hosts.filter(host => host.peer.zone === zone).map(host => host.addresses.targets);
	}

	/** Partitions a zone from all others in both directions. */
	cutZone(zone: string): void {
		for (const {from, to, link} of this.links) {
			if ((from.zone === zone) !== (to.zone === zone)) {
				link.cut('forward', 'backward');
			}
		}
	}

	/** Drops everything that one host sends to another: its calls, and its answers to the other's calls. */
	cutOneWay(from: PeerHost, to: PeerHost): void {
		this.getLink(from, to).cut('forward');
		this.getLink(to, from).cut('backward');
	}

	async heal(): Promise<void> {
		await Promise.all(this.links.map(async ({link}) => link.heal()));
	}

	/** Returns the link of the connections that one host opens to another. */
	getLink(from: PeerHost, to: PeerHost): Link {
		const hostLink = this.links.find(link => link.from.id === from.id && link.to.id === to.id);
		if (!hostLink) {
			throw new Error(`There is no link from ${from.id} to ${to.id}.`);
		}

		return hostLink.link;
	}

	async stop(): Promise<void> {
		await Promise.all(this.hosts.map(async host => host.kill()));
		await Promise.all(this.links.map(async ({link}) => link.refuse()));
		await rm(this.dir, {recursive: true, force: true});
	}
}
