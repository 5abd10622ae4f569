import {once} from 'node:events';
import {
	type Clock, createLogger, createRandom, ManualClock,
} from '@egretrill/common';
import {expect} from 'chai';
import {Result} from 'true-myth';
import {
	ConfigFollower, FleetConfigSource, InForceReports, type PeerClient,
} from '../src/index.js';
import type {FollowResponse} from '../src/follow/types.js';
import {createApply, createDocument} from './support/documents.js';
import {SimCluster} from './support/sim-cluster.js';

function createFollower(clock: Clock, parents: readonly PeerClient[] = []): ConfigFollower {
	return new ConfigFollower({
		hostId: 'host-1', fleet: 'test', clock, random: createRandom(1), logger: createLogger('test', 'fatal'), reports: new InForceReports(), joinCrashes: () => false, getParents: () => parents,
	});
}

function createResponse(version: number, ageMs: number): FollowResponse {
	return {
		version, ageMs, heldMs: 0, update: {
			kind: 'snapshot', config: {
				version, digest: `digest ${version}`, author: 'author', document: createDocument(version),
			},
		},
	};
}

/** Runs pending promise callbacks that do not depend on a timer. */
async function flushPromises(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

describe('configuration served after a restart', () => {
	// Guards against a voter that serves its last snapshot after a restart although it had served later entries before.
	it('is not older than before on an isolated member that restores a snapshot', async () => {
		const cluster = new SimCluster({seed: 11});
		cluster.startAll();
		const leader = await cluster.waitForLeader(({node}) => {
			const {members, commitIndex, lastIndex} = node.status();
			return members.length === 3 && members.every(({role}) => role === 'voter') && commitIndex === lastIndex;
		});
		for (let i = 0; i < 300; i++) {
			await cluster.runUntilSettled(leader.node.propose(createApply(leader.state.getConfig().version, String(i))));
		}

		const id = cluster.initialMembers.find(member => member !== leader.node.status().memberId) ?? '';
		await cluster.clock.run(2000);
		const before = cluster.processes.get(id)?.state.getConfig().version;
		cluster.crash(id);
		cluster.isolate(id);
		cluster.start(id);
		await cluster.clock.run(3000);
		const {node, state, clock} = cluster.processes.get(id)!;
		const source = new FleetConfigSource({
			clock, node, state, follower: createFollower(clock),
		});
		const cutOff = {snapshot: state.getConfig().version, served: source.getConfig()?.version};
		cluster.blockedLinks.clear();
		await cluster.clock.run(5000);
		expect({before, cutOff, healed: source.getConfig()?.version}).toMatchSnapshot();
		cluster.stopAll();
	});

	// Guards against a host without a stored log that serves an old configuration from a parent without contact to the leader.
	it('is withheld until a parent has recent contact to the leader', async () => {
		const clock = new ManualClock();
		const answers = [createResponse(2, 5000), createResponse(2, 10)];
		const stop = new AbortController();
		const parent = {
			address: 'parent',
			async call() {
				if (answers.length === 0) {
					await once(stop.signal, 'abort');
				}

				return Result.ok(answers.shift() ?? createResponse(2, 10));
			},
		} as unknown as PeerClient;
		const follower = createFollower(clock, [parent]);
		const running = follower.run(stop.signal);
		await flushPromises();
		const seen = [follower.getConfig()?.version];
		// Components that depend on the configuration are notified as soon as it is first served.
		const notified = follower.changed.wait(clock, 60_000);
		clock.advance(1000);
		await notified;
		seen.push(follower.getConfig()?.version);
		stop.abort();
		await running;
		expect(seen).to.deep.equal([undefined, 2]);
	});
});
