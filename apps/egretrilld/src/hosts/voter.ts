import path from 'node:path';
import {
	type Clock, type Logger, type Random, type Settings,
} from '@egretrill/common';
import {FileLogStorage, SnapshotStore} from '@egretrill/disk';
import {
	ConsensusNode, FleetState, GrpcConsensusTransport, type InForceReports, type PeerDirectory,
} from '@egretrill/hosts';
import type {Voter} from '../tokens.js';
import {LeaderDuties} from './leader-duties.js';

export type VoterOptions = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly peers: PeerDirectory;
	readonly reports: InForceReports;
};

/** Creates the parts of a host that is a voter of the replicated log; undefined on other hosts. */
export function createVoter({settings, clock, random, logger, peers, reports}: VoterOptions): Voter | undefined {
	const self = settings.peers.find(peer => peer.id === settings.host);
	if (!self?.voter || settings.dataDir === undefined) {
		return undefined;
	}

	const state = new FleetState();
	const folder = path.join(settings.dataDir, 'log');
	const node = new ConsensusNode({
		memberId: settings.host,
		initialMembers: settings.peers.filter(peer => peer.voter).map(peer => peer.id),
		transport: new GrpcConsensusTransport(peers),
		storage: new FileLogStorage({folder}),
		snapshots: new SnapshotStore({folder}),
		machine: state,
		clock,
		random,
		logger,
	});
	const duties = new LeaderDuties({
		hostId: settings.host, clock, logger, node, state, reports, getHostIds: () => settings.peers.map(peer => peer.id),
	});
	return {node, state, duties};
}
