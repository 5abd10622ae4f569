import {Writable} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createLogger} from '@egretrill/common';
import {expect} from 'chai';
import type {FleetCommand} from '../src/types.js';
import {type Process, SimCluster} from './support/sim-cluster.js';

function addMember(id: string): FleetCommand {
	return {
		kind: 'addMember', member: {
			id, zone: 'z1', region: 'r', address: '127.0.0.1:1', voter: true,
		}, requestId: `add ${id}`, author: 'ops',
	};
}

function hasVoters(count: number): (process: Process) => boolean {
	return ({node}) => {
		const {members} = node.status();
		return members.length === count && members.every(({role}) => role === 'voter');
	};
}

describe('log lines of membership changes', () => {
	// Guards against lines that list all members: they grow so long that the retained log of the leader covers only seconds.
	it('contain the affected members and the number of members', async () => {
		const lines: string[] = [];
		const sink = new Writable({
			write(chunk, _encoding, done) {
				lines.push(...String(chunk).trimEnd().split('\n'));
				done();
			},
		});
		const cluster = new SimCluster({seed: 11, logger: createLogger('test', 'info', sink)});
		cluster.startAll();
		cluster.start('d');
		const leader = await cluster.waitForLeader(hasVoters(3));
		await cluster.runUntilSettled(leader.node.propose(addMember('d')));
		await cluster.waitForLeader(hasVoters(4));
		await cluster.runUntilSettled(leader.node.propose({
			kind: 'removeMember', memberId: 'c', requestId: 'remove', author: 'ops',
		}));
		await cluster.waitForLeader(hasVoters(3));
		cluster.stopAll();
		await nextTurn();
		const changes = lines.map(line => JSON.parse(line) as Record<string, unknown>).filter(({msg}) => msg === 'Membership changes.');
		expect(changes.map(({added, removed, changed, count, members}) => ({
			added, removed, changed, count, members,
		}))).toMatchSnapshot();
	});
});
