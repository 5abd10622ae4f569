import {type Random} from '@egretrill/common';
import type {FleetCommand, FleetResult, ProposeOutcome} from '../../src/types.js';
import {createApply} from './documents.js';
import {type Process, SimCluster, type SimOpts} from './sim-cluster.js';

const OPERATORS = ['ops1', 'ops2', 'ops3'];
const FAULT_INJECTION_MS = 12_000;
const CALL_TIMEOUT_MS = 2500;
const MAX_RESENDS = 12;

/** One observation of an operator: a configuration read, or the definite result of an apply or record command. */
export type Observation = {
	readonly startMs: number;
	readonly endMs: number;
	readonly operator: string;
	readonly kind: 'read' | 'accepted' | 'conflict' | 'new' | 'other';
	readonly version: number;
	readonly digest: string;
};

export type History = {
	readonly observations: readonly Observation[];
	/** Digests of the accepted versions that remain after all faults are repaired. */
	readonly finalDigests: ReadonlyMap<number, string>;
};

class HistoryRun {
	readonly observations: Observation[] = [];
	private readonly random: Random;
	private hasEnded = false;

	constructor(readonly cluster: SimCluster) {
		this.random = cluster.random;
	}

	async run(): Promise<History> {
		const {cluster} = this;
		cluster.startAll();
		await cluster.waitForLeader();
		const tasks = [...OPERATORS.map(async name => this.runOperator(name)), this.injectFaults()];
		await cluster.runUntilSettled(this.stopAfter(FAULT_INJECTION_MS), 2 * FAULT_INJECTION_MS);
		await cluster.runUntilSettled(Promise.all(tasks), 60_000);
		cluster.blockedLinks.clear();
		for (const id of cluster.initialMembers) {
			cluster.processes.get(id)?.clock.resume();
			if (cluster.processes.get(id) === undefined) {
				cluster.start(id);
			}
		}

		const leader = await cluster.waitForLeader();
		const {changes} = leader.state.getChangesSince(0) as {changes: ReadonlyArray<{version: number; digest: string}>};
		const finalDigests = new Map(changes.map(change => [change.version, change.digest]));
		cluster.stopAll();
		return {observations: this.observations, finalDigests};
	}

	private async stopAfter(ms: number): Promise<void> {
		await this.cluster.clock.sleep(ms);
		this.hasEnded = true;
	}

	private pick<T>(items: readonly T[]): T | undefined {
		return items[Math.floor(this.random() * items.length)];
	}

	private async sleepRandomly(maxMs: number): Promise<void> {
		await this.cluster.clock.sleep(this.random() * maxMs);
	}

	/** Sends a call to a random member; returns undefined if it fails or times out. */
	private async call<T>(handle: (process: Process) => Promise<T>): Promise<T | undefined> {
		const {cluster} = this;
		const expire = async (): Promise<undefined> => {
			await cluster.clock.sleep(CALL_TIMEOUT_MS);
			return undefined;
		};

		try {
			return await Promise.race([cluster.send('operator', this.pick(cluster.initialMembers) ?? '', handle), expire()]);
		} catch {
			return undefined;
		}
	}

	private async propose(command: FleetCommand): Promise<FleetResult | undefined> {
		for (let i = 0; i < MAX_RESENDS; i++) {
			const outcome: ProposeOutcome<FleetResult> | undefined = await this.call(async process => process.node.propose(command));
			if (outcome?.kind === 'committed') {
				return outcome.result;
			}

			await this.sleepRandomly(300);
		}

		return undefined;
	}

	private async runOperator(operator: string): Promise<void> {
		for (let i = 0; !this.hasEnded; i++) {
			const startMs = this.cluster.clock.now();
			const config = await this.call(async ({node, state}) => node.isLeaderWithLease() ? state.getConfig() : undefined);
			if (config) {
				this.addObservation(startMs, operator, 'read', config);
				await this.sleepRandomly(100);
				await this.apply(operator, config.version, `${operator}-${i}`);
				await this.record(operator, `order-${Math.floor(i / 2)}`);
			}

			await this.sleepRandomly(100);
		}
	}

	private async apply(operator: string, follows: number, name: string): Promise<void> {
		const startMs = this.cluster.clock.now();
		const result = await this.propose(createApply(follows, name));
		if (result?.kind === 'accepted' || result?.kind === 'conflict') {
			this.addObservation(startMs, operator, result.kind, result);
		}
	}

	private async record(operator: string, key: string): Promise<void> {
		const startMs = this.cluster.clock.now();
		const result = await this.propose({
			kind: 'record', customer: 'c1', key, fingerprint: 'f', host: operator, attempt: `${operator}-${startMs}`, elapsedMs: 0,
		});
		this.addObservation(startMs, operator, result?.kind === 'new' ? 'new' : 'other', {version: 0, digest: key});
	}

	private addObservation(startMs: number, operator: string, kind: Observation['kind'], {version, digest}: {version: number; digest: string}): void {
		this.observations.push({
			startMs, endMs: this.cluster.clock.now(), operator, kind, version, digest,
		});
	}

	/** Kills, wipes, pauses and partitions members and fills their disks until the run ends. */
	private async injectFaults(): Promise<void> {
		const {cluster} = this;
		while (!this.hasEnded) {
			await this.sleepRandomly(1500);
			const id = this.pick(cluster.initialMembers) ?? '';
			const fault = this.pick([this.kill, this.killAll, this.pauseProcess, this.isolate, this.blockOneWay, this.wipe, this.fillDisk]);
			await fault?.call(this, id);
		}
	}

	private async kill(id: string): Promise<void> {
		this.cluster.crash(id);
		await this.sleepRandomly(1500);
		this.cluster.start(id);
	}

	private async killAll(): Promise<void> {
		this.cluster.stopAll();
		for (const id of this.cluster.initialMembers) {
			this.cluster.start(id);
		}
	}

	private async pauseProcess(id: string): Promise<void> {
		const process = this.cluster.processes.get(id);
		process?.clock.pause();
		await this.sleepRandomly(3000);
		process?.clock.resume();
	}

	/** Fills a disk for a while, in which other faults may follow. */
	private async fillDisk(id: string): Promise<void> {
		const {fileSystem} = this.cluster.processes.get(id) ?? {};
		const freeLater = async (): Promise<void> => {
			await this.sleepRandomly(3000);
			if (fileSystem) {
				fileSystem.fault = undefined;
			}
		};

		if (fileSystem) {
			fileSystem.fault = 'full';
			void freeLater();
		}
	}

	private async isolate(id: string): Promise<void> {
		this.cluster.isolate(id);
		await this.sleepRandomly(3000);
		this.cluster.blockedLinks.clear();
	}

	private async blockOneWay(id: string): Promise<void> {
		this.cluster.blockedLinks.add(`${id}>${this.pick(this.cluster.initialMembers) ?? ''}`);
		await this.sleepRandomly(3000);
		this.cluster.blockedLinks.clear();
	}

	/** Wipes a disk only while every member is a voter: the log does not survive the loss of two of three disks. */
	private async wipe(id: string): Promise<void> {
		const {cluster} = this;
		const identities = new Set([...cluster.processes.values()].map(process => process.node.status().identity));
		const {members = [], commitIndex = 0, lastIndex = 1} = cluster.getLeader()?.node.status() ?? {};
		if (commitIndex === lastIndex && members.length === 3 && members.every(member => member.role === 'voter' && identities.has(member.identity))) {
			cluster.wipe(id);
			cluster.start(id);
		}
	}
}

/** Runs three operators against a cluster under injected faults and returns their observations. */
export async function recordHistory(opts: SimOpts): Promise<History> {
	return new HistoryRun(new SimCluster(opts)).run();
}

function findReverts(observations: readonly Observation[]): readonly string[] {
	const versions = observations.filter(observation => observation.kind !== 'new' && observation.kind !== 'other');
	return versions.flatMap(later => {
		const newer = versions.find(earlier => earlier.endMs < later.startMs && earlier.version > later.version);
		return newer ? [`${later.operator} saw version ${later.version} after ${newer.operator} had seen ${newer.version}`] : [];
	});
}

function findLostVersions(history: History): readonly string[] {
	return history.observations
		.filter(({kind, version, digest}) => (kind === 'accepted' || kind === 'read' || kind === 'conflict') && version > 0 && history.finalDigests.get(version) !== digest)
		.map(({kind, version, digest}) => `${kind} version ${version} with ${digest} is lost; version ${version} is ${history.finalDigests.get(version) ?? 'missing'}`);
}

function findDuplicates(values: readonly string[], description: string): readonly string[] {
	return values.filter((value, i) => values.indexOf(value) !== i).map(value => `${value} ${description} twice`);
}

/** Returns all violations in a history: lost, reverted and duplicated changes, and sends that were permitted twice. */
export function checkHistory(history: History): readonly string[] {
	const {observations, finalDigests} = history;
	return [
		...findLostVersions(history),
		...findReverts(observations),
		...findDuplicates([...finalDigests.values()], 'was applied'),
		...findDuplicates(observations.filter(({kind}) => kind === 'new').map(({digest}) => digest), 'was permitted'),
	];
}
