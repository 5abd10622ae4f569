import {
	createLogger, createRandom, ManualClock, Signal,
} from '@egretrill/common';
import {credentials} from '@grpc/grpc-js';
import {expect} from 'chai';
import {Result} from 'true-myth';
import {
	bindFollowMethod, ConfigFollower, VersionedConfigSource, InForceReports, type Method, type MethodHandler, type PeerCallError, PeerClient,
} from '../src/index.js';
import type {ConfigUpdate} from '../src/types.js';
import {createDocument} from './support/documents.js';

/** A `record` command is rejected when the configuration is older than this; a change of leader alone must not make it that old. */
const MAX_AGE_MS = 1500;
const STEP_MS = 50;

/** Configuration source of a leader: always current. */
class LeaderSource extends VersionedConfigSource {
	override readonly changed = new Signal();

	override getConfig() {
		return {
			version: 1, digest: 'digest', author: 'author', document: createDocument(1),
		};
	}

	override getUpdateSince(): ConfigUpdate {
		return {kind: 'snapshot', config: this.getConfig()};
	}

	override getAgeMs(): number {
		return 0;
	}

	override getVia(): readonly string[] {
		return [];
	}

	override getLeaderId(): string {
		return 'leader';
	}
}

/** In-process connection to another host that can be disconnected. */
class LocalPeer extends PeerClient {
	isDisconnected = false;

	constructor(address: string, clock: ManualClock, private readonly getHandler: () => MethodHandler) {
		super(address, credentials.createInsecure(), clock);
	}

	override async call<Req, Res>(method: Method<Req, Res>, req: Req): Promise<Result<Res, PeerCallError>> {
		return this.isDisconnected
			? Result.err({code: 'unreachable', message: 'The peer is disconnected.'})
			: Result.ok(method.res.decode((await this.getHandler().handle(method.req.encode(req)))()));
	}
}

/** Runs pending promise callbacks that do not depend on a timer. */
async function flushPromises(): Promise<void> {
	for (let i = 0; i < 20; i++) {
		await new Promise(setImmediate);
	}
}

describe('tree of followers', () => {
	const clock = new ManualClock();
	const logger = createLogger('test', 'fatal');
	const reports = new InForceReports();

	function bind(hostId: string, source: VersionedConfigSource): MethodHandler {
		return bindFollowMethod({
			hostId, fleet: 'test', clock, logger, source, reports, listCrashes: () => [],
		});
	}

	function createFollower(hostId: string, getParents: (leaderId: string | undefined) => readonly PeerClient[]): ConfigFollower {
		const follower: ConfigFollower = new ConfigFollower({
			hostId, fleet: 'test', clock, random: createRandom(1), logger, reports: new InForceReports(), joinCrashes: () => false, getParents: () => getParents(follower.getLeaderId()),
		});
		return follower;
	}

	// Guards against two voters that follow each other after a leader is elected, and reject requests until they detect the loop.
	it('follows the leader as soon as it is known, without stale configurations in between', async () => {
		const toLeader = new LocalPeer('leader', clock, () => bind('leader', new LeaderSource()));
		const names = ['a', 'b'] as const;
		const followers: ReadonlyMap<string, ConfigFollower> = new Map(names.map((name, i) => {
			const other = names[1 - i]!;
			const toOther = new LocalPeer(other, clock, () => bind(other, followers.get(other)!));
			return [name, createFollower(name, leaderId => leaderId === undefined ? [toOther, toLeader] : [toLeader, toOther])];
		}));
		const stop = new AbortController();
		const running = [...followers.values()].map(async follower => follower.run(stop.signal));
		let oldestMs = 0;
		for (let atMs = 0; atMs < 6000; atMs += STEP_MS) {
			await flushPromises();
			if (atMs > 1000) {
				oldestMs = Math.max(oldestMs, ...[...followers.values()].map(follower => follower.getAgeMs()));
			}

			clock.advance(STEP_MS);
		}

		stop.abort();
		clock.advance(1000);
		await Promise.all(running);
		expect([...followers.values()].map(follower => follower.getVia())).toMatchSnapshot();
		expect(oldestMs).to.be.below(MAX_AGE_MS);
	});

	// Guards against hosts that follow each other in a loop while the leader is reachable.
	it('abandons a parent whose configuration came through the follower itself', async () => {
		const toLeader = new LocalPeer('leader', clock, () => bind('leader', new LeaderSource()));
		toLeader.isDisconnected = true;
		const loopingSource = new LeaderSource();
		loopingSource.getVia = () => ['follower', 'leader'];
		const follower = createFollower('follower', () => [toLeader, new LocalPeer('ring', clock, () => bind('ring', loopingSource))]);
		const stop = new AbortController();
		const running = follower.run(stop.signal);
		const seen = [];
		for (const isCut of [true, false]) {
			toLeader.isDisconnected = isCut;
			for (let atMs = 0; atMs < 1000; atMs += STEP_MS) {
				await flushPromises();
				clock.advance(STEP_MS);
			}

			seen.push({isCut, via: follower.getVia(), isCurrent: follower.getAgeMs() < MAX_AGE_MS});
		}

		stop.abort();
		clock.advance(1000);
		await running;
		expect(seen).toMatchSnapshot();
	});
});
