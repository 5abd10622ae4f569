import {
	createLogger, createRandom, MonotonicClock, type TrafficSource,
} from '@egretrill/common';
import {
	bindMethod, ControlPeers, type PeerServer, startPeerServer,
} from '@egretrill/hosts';
import {Link} from '@egretrill/testkit';
import {credentials, ServerCredentials} from '@grpc/grpc-js';
import {expect} from 'chai';
import {
	ConfigParts, configPartMethod, ControlFollower, syncMethod, type SyncResponse,
} from '../../src/traffic/index.js';
import {CountingSink} from './support/counting-sink.js';

/** Time in which a confirmed change is in force at each host in touch. */
const APPLY_MS = 2000;
const FIRST_VERSION = 1;
const LAST_VERSION = 2;
const POLL_STEP_MS = 10;
/** Wait before the connections go silent, in which those to the control hosts other than the leader are idle. */
const IDLE_MS = 2500;
const plan: SyncResponse['plan'] = {
	others: [], expected: [], rates: {
		serial: 1, standing: 1, leased: [], hostCount: 71,
	},
};
const peerCredentials = {server: ServerCredentials.createInsecure(), client: credentials.createInsecure()};

type SilentCase = {
	readonly name: string;
	readonly controlHosts: number;
	readonly silent: 'leader' | 'all';
	/** Time of the change after the connections went silent; negative for a change before. */
	readonly changeMs: number;
	readonly idleMs?: number;
};

/** The configuration of an entry host, with the time at which each version was in force. */
class VersionSink extends CountingSink {
	version = 0;

	constructor(private readonly onApplied: (version: number) => void) {
		super();
	}

	override getKnownVersions(): ReturnType<CountingSink['getKnownVersions']> {
		return {...super.getKnownVersions(), configVersion: this.version};
	}

	override applyConfig({version}: TrafficSource): void {
		this.version = version;
		this.onApplied(version);
	}
}

/** Control hosts behind links, the first of which is the leader, and one entry host that follows them. */
class LinkedFleet {
	static async start(size: number): Promise<LinkedFleet> {
		const fleet = new LinkedFleet();
		for (let index = 0; index < size; index += 1) {
			await fleet.addControlHost(index === 0);
		}

		fleet.peers = new ControlPeers({seedIds: fleet.ids, clock: fleet.clock, credentials: peerCredentials});
		return fleet;
	}

	readonly clock = new MonotonicClock();
	readonly links: Link[] = [];
	readonly stopper = new AbortController();
	private readonly servers: PeerServer[] = [];
	private readonly appliedMs = new Map<number, number>();
	private readonly sink = new VersionSink(version => this.appliedMs.set(version, this.clock.now()));
	private peers!: ControlPeers;
	private version = FIRST_VERSION;
	private following: Promise<void> | undefined;

	/** Lets the entry host connect to all control hosts and follow the leader. */
	async follow(): Promise<void> {
		await Promise.all(this.ids.map(async id => this.peers.call(id, configPartMethod, {version: 0, offset: 0})));
		const {clock, peers, sink} = this;
		const follower = new ControlFollower({
			hostId: 'e1', zone: 'a', clock, getTimeOfDayMs: () => Date.now(), random: createRandom(1), logger: createLogger('test', 'fatal'), peers, sink,
		});
		this.following = follower.run(this.stopper.signal);
	}

	/** Changes the configuration; resolves with the time after which it is in force at the entry host. */
	async change(): Promise<number> {
		this.version = LAST_VERSION;
		const startMs = this.clock.now();
		while (this.appliedMs.get(LAST_VERSION) === undefined && this.clock.now() < startMs + (5 * APPLY_MS)) {
			await this.clock.sleep(POLL_STEP_MS);
		}

		return (this.appliedMs.get(LAST_VERSION) ?? Number.POSITIVE_INFINITY) - startMs;
	}

	silence(which: SilentCase['silent']): void {
		for (const link of which === 'all' ? this.links : this.links.slice(0, 1)) {
			link.blackhole();
		}
	}

	async stop(): Promise<void> {
		this.stopper.abort();
		this.peers.close();
		await this.following;
		await Promise.all(this.links.map(async link => link.refuse()));
		await Promise.all(this.servers.map(async server => server.stop()));
	}

	private get ids(): readonly string[] {
		return this.links.map(({address}) => address);
	}

	private async addControlHost(isLeader: boolean): Promise<void> {
		const parts = new ConfigParts(() => ({version: this.version, source: '{}'}));
		const server = await startPeerServer({
			address: '127.0.0.1:0', credentials: peerCredentials, logger: createLogger('test', 'fatal'), handlers: [
				bindMethod(syncMethod, async ({configVersion, waitMs}) => this.answer(configVersion, waitMs, isLeader)),
				bindMethod(configPartMethod, async req => ({part: parts.getPart(req)})),
			],
		});
		this.servers.push(server);
		this.links.push(await Link.open(`127.0.0.1:${server.port}`));
	}

	private async answer(knownVersion: number, waitMs: number, isLeader: boolean): Promise<SyncResponse> {
		const untilMs = this.clock.now() + waitMs;
		while (this.version <= knownVersion && this.clock.now() < untilMs) {
			await this.clock.sleep(POLL_STEP_MS);
		}

		return {
			leaderId: this.ids[0], controls: this.ids.map(id => ({id, zone: 'a'})), zonesOut: [], stateIndex: this.version,
			...(this.version > knownVersion && {configVersion: this.version}),
			...(isLeader && {plan}),
			registry: {
				origin: 'o', revision: 1, isWhole: false, targets: [],
			},
		};
	}
}

async function measureApplyMs({controlHosts, silent, changeMs, idleMs = IDLE_MS}: SilentCase): Promise<number> {
	const fleet = await LinkedFleet.start(controlHosts);
	try {
		await fleet.follow();
		await fleet.clock.sleep(idleMs);
		if (changeMs >= 0) {
			fleet.silence(silent);
			await fleet.clock.sleep(changeMs);
			return await fleet.change();
		}

		const changed = fleet.change();
		await fleet.clock.sleep(-changeMs);
		fleet.silence(silent);
		return await changed;
	} finally {
		await fleet.stop();
	}
}

const cases: readonly SilentCase[] = [
	{
		name: '3 control hosts', controlHosts: 3, silent: 'all', changeMs: 0,
	},
	{
		name: '6 control hosts', controlHosts: 6, silent: 'all', changeMs: 0,
	},
	{
		name: '8 control hosts', controlHosts: 8, silent: 'all', changeMs: 0,
	},
	{
		name: 'the leader alone', controlHosts: 6, silent: 'leader', changeMs: 0,
	},
	{
		name: 'a change before', controlHosts: 6, silent: 'all', changeMs: -5,
	},
	{
		name: 'a change later', controlHosts: 6, silent: 'all', changeMs: 1000,
	},
	{
		name: 'connections that were used just before', controlHosts: 6, silent: 'all', changeMs: 0, idleMs: 500,
	},
];

describe('entry host whose connections to control hosts have gone silent', () => {
	for (const silentCase of cases) {
		// Guards against polls that time out one after the other, once for each silent connection.
		it(`puts a change into force in time: ${silentCase.name}`, async () => {
			expect(await measureApplyMs(silentCase)).to.be.lessThan(APPLY_MS);
		});
	}
});
