import path from 'node:path';
import type {Clock, Logger, Random} from '@egretrill/common';
import {FileLogStorage, SnapshotStore} from '@egretrill/disk';
import {
	ConsensusNode, type ControlPeers, type FleetNode, type FleetState, GrpcConsensusTransport,
} from '@egretrill/hosts';
import type {ControlSettings} from './settings.js';

export type ControlNodeOptions = {
	readonly settings: ControlSettings;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly peers: ControlPeers;
	readonly state: FleetState;
};

/** Creates the log member of a control host, whose log and snapshots are in its data folder. */
export function createControlNode({settings, clock, random, logger, peers, state}: ControlNodeOptions): FleetNode {
	const folder = path.join(settings.dataDir, 'log');
	return new ConsensusNode({
		memberId: settings.listen.peers,
		initialMembers: settings.isFirstStart ? settings.seeds : [],
		minVoters: settings.minVoters,
		transport: new GrpcConsensusTransport(peers),
		storage: new FileLogStorage({folder}),
		snapshots: new SnapshotStore({folder}),
		machine: state,
		clock,
		getTimeOfDayMs: () => Date.now(),
		random,
		logger,
	});
}
