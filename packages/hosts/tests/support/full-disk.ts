import type {Logger} from '@egretrill/common';
import type {FleetResult, ProposeOutcome} from '../../src/types.js';
import {createApply} from './documents.js';
import {type Process, SimCluster} from './sim-cluster.js';

export const SEED = 11;
export const FULL_MS = 3000;
/** Time within which a member that has room again has caught up. */
export const CATCH_UP_MS = 2500;
/** A member tries at most ten writes in a second while its disk is full; election rounds may add one each. */
export const MAX_TRIES = (FULL_MS / 100) + 2;

type Outcome = ProposeOutcome<FleetResult>;

export function isFullyFormed(process: Process): boolean {
	const {members, commitIndex, lastIndex} = process.node.status();
	return members.length >= 3 && members.every(member => member.role === 'voter') && commitIndex === lastIndex;
}

export type Fixture = {readonly cluster: SimCluster; readonly leader: Process; readonly leaderId: string; readonly followerIds: readonly string[]};

export async function createCluster(logger?: Logger): Promise<Fixture> {
	const cluster = new SimCluster({seed: SEED, logger});
	cluster.startAll();
	const leader = await cluster.waitForLeader(isFullyFormed);
	const leaderId = leader.node.status().memberId;
	await propose(cluster, leader, 'first');
	await cluster.clock.run(500);
	return {
		cluster, leader, leaderId, followerIds: cluster.initialMembers.filter(id => id !== leaderId),
	};
}

export async function propose(cluster: SimCluster, {node, state}: Process, name: string): Promise<Outcome> {
	return cluster.runUntilSettled(node.propose(createApply(state.getConfig().version, name)));
}

export function getProcess(cluster: SimCluster, id = ''): Process {
	const process = cluster.processes.get(id);
	if (process === undefined) {
		throw new Error(`${id} does not run.`);
	}

	return process;
}

export function fill({fileSystem}: Process, files = /./v): void {
	fileSystem.fault = 'full';
	fileSystem.fullFiles = files;
}

export function free({fileSystem}: Process): void {
	fileSystem.fault = undefined;
}

/** Describes the running members, which must agree once the disks have room. */
export function describeStates(cluster: SimCluster): ReadonlySet<string> {
	return new Set([...cluster.processes.values()].map(({node, state}) => {
		const {role, lastIndex, appliedIndex} = node.status();
		return `${role === 'stopped' ? 'stopped' : 'running'}, entry ${lastIndex}, applied ${appliedIndex}, ${state.getConfig().digest}`;
	}));
}
