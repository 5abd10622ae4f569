import {createHash} from 'node:crypto';
import {
	mkdir, mkdtemp, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {ConfigDocument, PeerHost, Settings} from '@egretrill/common';
import {stringify} from 'yaml';
import {DaemonProcess} from './daemon-process.js';
import {findPorts} from './ports.js';

export type FleetOptions = {
	readonly fleet: string;
	/** Zone of each host, in order; the first host of each zone votes. */
	readonly zones: readonly string[];
	readonly config: ConfigDocument;
	readonly settings?: Partial<Settings>;
};

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

function createSettings(opts: FleetOptions, peers: readonly PeerHost[], self: PeerHost, dir: string): Partial<Settings> {
	const any = '127.0.0.1:0';
	return {
		host: self.id,
		fleet: opts.fleet,
		region: self.region,
		zone: self.zone,
		listen: {
			callers: any, targets: any, peers: self.address, admin: any, monitor: any, health: any,
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
		const configFile = path.join(dir, 'config.yaml');
		await writeFile(configFile, stringify(opts.config));
		const hosts = await Promise.all(peers.map(async self => {
			await mkdir(path.join(dir, self.id), {recursive: true});
			const file = path.join(dir, `${self.id}.yaml`);
			await writeFile(file, stringify(createSettings(opts, peers, self, dir)));
			return new DaemonProcess(self, file, configFile);
		}));
		const fleet = new Fleet(dir, hosts);
		await Promise.all(hosts.map(async host => host.start()));
		await Promise.all(hosts.map(async host => host.waitUntilReady()));
		return fleet;
	}

	private constructor(readonly dir: string, readonly hosts: readonly DaemonProcess[]) {}

	getHost(index: number): DaemonProcess {
		const host = this.hosts[index];
		if (!host) {
			throw new Error(`The fleet has no host ${index}.`);
		}

		return host;
	}

	/** Target addresses of the hosts of one zone. */
	getTargetAddresses(zone: string): readonly string[] {
		return this.hosts.filter(host => host.peer.zone === zone).map(host => host.addresses.targets);
	}

	async stop(): Promise<void> {
		await Promise.all(this.hosts.map(async host => host.kill()));
		await rm(this.dir, {recursive: true, force: true});
	}
}
