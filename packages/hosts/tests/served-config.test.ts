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
		hostId: 'host-1', fleet: 'test', clock, random: createRandom(1), logger: createLogger('test', 'fatal'), reports: new InForceReports(), getParents: () => parents,
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

/** Lets promises settle that wait for no timer. */
async function flushPromises(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

describe('the configuration that a host serves after a restart', () => {
	// Guards against a voter that serves its last snapshot although it had served entries behind it.
	it('is not older than before on a member that has a snapshot and is cut off', async () => {
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
		const origin = new FleetConfigSource({
			clock, node, state, follower: createFollower(clock), getLocallyBlocked: () => [],
		});
		const cutOff = {snapshot: state.getConfig().version, served: origin.getConfig()?.version};
		cluster.blockedLinks.clear();
		await cluster.clock.run(5000);
		expect({before, cutOff, healed: origin.getConfig()?.version}).toMatchSnapshot();
		cluster.stopAll();
	});

	// Guards against a host without a disk that takes an old configuration from a parent which is itself cut off.
	it('waits for a parent that is in touch with the leader', async () => {
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
		// What depends on the configuration is told in the moment in which it is first served.
		const notified = follower.changed.wait(clock, 60_000);
		clock.advance(1000);
		await notified;
		seen.push(follower.getConfig()?.version);
		stop.abort();
		await running;
		expect(seen).to.deep.equal([undefined, 2]);
	});
});
