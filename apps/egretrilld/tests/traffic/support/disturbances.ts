import type {SimControlFleet} from './sim-control-fleet.js';

/** A started host has not become a voter yet after this time. */
const JOINING_MS = 900;

/** What happens right before the order is sent; disks that are disturbed stay so until the loss. */
export type Disturbance = (fleet: SimControlFleet, machines: number) => Promise<void>;

function disturbDisks(fleet: SimControlFleet, ids: readonly string[], fault: 'full' | 'stall'): void {
	for (const id of ids) {
		const process = fleet.cluster.processes.get(id);
		if (process) {
			process.fileSystem.fault = fault;
		}
	}
}

/** Starts another host and waits until it is about to become a member. */
async function startJoining(fleet: SimControlFleet): Promise<void> {
	void fleet.start('new:1');
	await fleet.cluster.clock.run(JOINING_MS);
}

/** Disturbances by name; the first one is none. */
export const DISTURBANCES: Readonly<Record<string, Disturbance>> = {
	async 'nothing else happens'() {
		// The fleet is as it was created.
	},
	async 'a host joins'(fleet) {
		await startJoining(fleet);
	},
	async 'a follower is replaced as planned'(fleet) {
		await startJoining(fleet);
		void fleet.stop(fleet.getFollowerIds()[0] ?? '');
	},
	async 'the leader is replaced as planned'(fleet) {
		await startJoining(fleet);
		void fleet.stop(fleet.getLeaderId());
	},
	async 'disks of followers are full'(fleet, machines) {
		disturbDisks(fleet, fleet.getFollowerIds().slice(-machines), 'full');
	},
	async 'disks of followers stand still'(fleet, machines) {
		disturbDisks(fleet, fleet.getFollowerIds().slice(-machines), 'stall');
	},
	async 'the disk of the leader stands still'(fleet) {
		disturbDisks(fleet, [fleet.getLeaderId()], 'stall');
	},
};
