import type {Clock, Logger, Random} from '@egretrill/common';
import type {LogStorage, SnapshotStore} from '@egretrill/disk';
import type {ReplicatedStateMachine} from './state-machine.js';
import type {ConsensusTransport} from './transport.js';

/** What a member of the replicated log is given at its start. */
export type ReplicaOpts = {
	readonly memberId: string;
	/** Members at the bootstrap of the fleet; the one whose id sorts first bootstraps the log. */
	readonly initialMembers: readonly string[];
	/** Number of voters that survives the disk losses to be tolerated: twice their number plus one. */
	readonly minVoters?: number;
	readonly transport: ConsensusTransport;
	readonly storage: LogStorage;
	readonly snapshots: SnapshotStore;
	readonly machine: ReplicatedStateMachine;
	readonly clock: Clock;
	/** Time of day, which unlike the clock counts the time while the machine is suspended; without it suspensions are not detected. */
	readonly getTimeOfDayMs?: () => number;
	readonly random: Random;
	readonly logger?: Logger;
};
