import {
	type Clock, createRandom, type Logger, ManualClock, type Random,
} from '@egretrill/common';
import {
	AppendFile, FileLogStorage, FileSystem, MemoryFileSystem, SnapshotStore,
} from '@egretrill/disk';
import {ConsensusNode, ConsensusTransport, FleetState} from '../../src/index.js';
import type {
	AppendEntriesRequest, AppendEntriesResponse, FleetCommand, FleetResult, InstallSnapshotRequest, InstallSnapshotResponse, RequestVoteRequest, RequestVoteResponse,
} from '../../src/types.js';
import {ProcessClock} from './process-clock.js';

const FOLDER = '/data';

/** With `stall`, syncs end only after the fault; with `write`, writes fail for another reason than a full disk. */
export type DiskFault = 'sync' | 'write' | 'full' | 'stall' | 'lying-sync' | undefined;

const ALL_FILES = /./v;

/** File system of one simulated process. Syncs take time, and after a crash its writes fail without reaching the disk. */
class ProcessFileSystem extends FileSystem {
	isDetached = false;
	fault: DiskFault;
	/** Files that find no room on a full disk. */
	fullFiles = ALL_FILES;
	/** Number of writes that have found no room. */
	refusedWrites = 0;

	constructor(private readonly disk: MemoryFileSystem, private readonly clock: Clock, private readonly random: Random) {
		super();
	}

	assertAttached(): void {
		if (this.isDetached) {
			throw new Error('The process has crashed.');
		}
	}

	async waitForSync(): Promise<void> {
		do {
			await this.clock.sleep(1 + (this.random() * 4));
			this.assertAttached();
		} while (this.fault === 'stall');

		if (this.fault === 'sync') {
			throw new Error('EIO: i/o error, fsync');
		}
	}

	async readFile(file: string): Promise<Uint8Array | undefined> {
		return this.disk.readFile(file);
	}

	async openFile(file: string): Promise<AppendFile> {
		this.assertAttached();
		return new ProcessFile(this, file, await this.disk.openFile(file));
	}

	async rename(from: string, to: string): Promise<void> {
		this.assertAttached();
		await this.disk.rename(from, to);
	}

	async remove(file: string): Promise<void> {
		this.assertAttached();
		await this.disk.remove(file);
	}

	async makeFolder(): Promise<void> {
		this.assertAttached();
	}

	async syncFolder(folder: string): Promise<void> {
		await this.waitForSync();
		await this.disk.syncFolder(folder);
	}
}

class ProcessFile extends AppendFile {
	constructor(private readonly fileSystem: ProcessFileSystem, private readonly name: string, private readonly file: AppendFile) {
		super();
	}

	async append(bytes: Uint8Array): Promise<void> {
		this.fileSystem.assertAttached();
		if (this.fileSystem.fault === 'write') {
			throw Object.assign(new Error('EIO: i/o error, write'), {code: 'EIO'});
		}

		if (this.fileSystem.fault === 'full' && this.fileSystem.fullFiles.test(this.name)) {
			this.fileSystem.refusedWrites += 1;
			await this.file.append(bytes.subarray(0, bytes.length / 2));
			throw Object.assign(new Error('ENOSPC: no space left on device'), {code: 'ENOSPC'});
		}

		await this.file.append(bytes);
	}

	async truncate(length: number): Promise<void> {
		this.fileSystem.assertAttached();
		await this.file.truncate(length);
	}

	async sync(): Promise<void> {
		await this.fileSystem.waitForSync();
		if (this.fileSystem.fault !== 'lying-sync') {
			await this.file.sync();
		}
	}

	async close(): Promise<void> {
		await this.file.close();
	}
}

/** One running process of a member. */
export type Process = {
	readonly node: ConsensusNode<FleetCommand, FleetResult>;
	readonly state: FleetState;
	readonly clock: ProcessClock;
	readonly fileSystem: ProcessFileSystem;
};

class SimTransport extends ConsensusTransport {
	constructor(private readonly cluster: SimCluster, private readonly from: string) {
		super();
	}

	async requestVote(to: string, req: RequestVoteRequest): Promise<RequestVoteResponse> {
		return this.cluster.send(this.from, to, async process => process.node.handleRequestVote(structuredClone(req)));
	}

	async appendEntries(to: string, req: AppendEntriesRequest): Promise<AppendEntriesResponse> {
		return this.cluster.send(this.from, to, async process => process.node.handleAppendEntries(structuredClone(req)));
	}

	async installSnapshot(to: string, req: InstallSnapshotRequest): Promise<InstallSnapshotResponse> {
		return this.cluster.send(this.from, to, async process => process.node.handleInstallSnapshot(structuredClone(req)));
	}
}

export type SimOpts = {
	readonly seed: number;
	readonly initialMembers?: readonly string[];
	readonly fault?: DiskFault;
	readonly minVoters?: number;
	readonly createState?: () => FleetState;
	readonly logger?: Logger;
};

/** Cluster with a simulated clock, network and disks; the seed determines all delays and faults. */
export class SimCluster {
	readonly clock = new ManualClock();
	readonly random: Random;
	readonly processes = new Map<string, Process>();
	readonly disks = new Map<string, MemoryFileSystem>();
	/** Links, as `from>to`, on which all messages are lost. */
	readonly blockedLinks = new Set<string>();
	readonly initialMembers: readonly string[];

	constructor(private readonly opts: SimOpts) {
		this.random = createRandom(opts.seed);
		this.initialMembers = opts.initialMembers ?? ['a', 'b', 'c'];
	}

	/** Starts a process of a member; `initialMembers` is empty when the fleet has been started before. */
	start(id: string, initialMembers = this.initialMembers, signal?: AbortSignal): void {
		const disk = this.disks.get(id) ?? new MemoryFileSystem();
		this.disks.set(id, disk);
		const clock = new ProcessClock(this.clock);
		const fileSystem = new ProcessFileSystem(disk, clock, this.random);
		fileSystem.fault = this.opts.fault;
		const state = this.opts.createState?.() ?? new FleetState();
		const node = new ConsensusNode({
			memberId: id,
			initialMembers,
			minVoters: this.opts.minVoters,
			transport: new SimTransport(this, id),
			storage: new FileLogStorage({folder: FOLDER, fileSystem}),
			snapshots: new SnapshotStore({folder: FOLDER, fileSystem}),
			machine: state,
			clock,
			getTimeOfDayMs: () => this.clock.now(),
			random: this.random,
			logger: this.opts.logger,
		});
		this.processes.set(id, {
			node, state, clock, fileSystem,
		});
		void this.startNode(node, signal);
	}

	async startNode(node: Process['node'], signal?: AbortSignal): Promise<void> {
		try {
			await node.start(signal);
		} catch {
			// The process crashed while it was starting.
		}
	}

	startAll(): void {
		for (const id of this.initialMembers) {
			this.start(id);
		}
	}

	/** Terminates a process immediately by a loss of power; unsynced data is lost. */
	crash(id: string): void {
		if (this.processes.has(id)) {
			this.kill(id);
			this.disks.get(id)?.crash(this.random);
		}
	}

	/** Terminates a process immediately; its files stay as they are. */
	kill(id: string): void {
		const process = this.processes.get(id);
		if (process) {
			process.fileSystem.isDetached = true;
			this.processes.delete(id);
			process.clock.resume();
			void process.node.stop();
		}
	}

	wipe(id: string): void {
		this.crash(id);
		this.disks.delete(id);
	}

	isolate(id: string): void {
		for (const other of this.disks.keys()) {
			this.blockedLinks.add(`${id}>${other}`).add(`${other}>${id}`);
		}
	}

	/** Delivers a message and its answer with random delays; a lost message never resolves. */
	async send<T>(from: string, to: string, handle: (process: Process) => Promise<T>): Promise<T> {
		const sender = this.processes.get(from);
		await this.delayDelivery(from, to);
		const receiver = this.processes.get(to);
		if (receiver === undefined) {
			throw new Error(`connect ECONNREFUSED ${to}`);
		}

		await receiver.clock.sleep(0);
		const answer = await handle(receiver);
		await this.delayDelivery(to, from);
		// A paused sender receives the answer after the pause; the answer to a crashed one has no effect.
		await sender?.clock.sleep(0);
		return answer;
	}

	getLeader(): Process | undefined {
		return [...this.processes.values()].find(process => process.node.isLeaderWithLease());
	}

	async waitForLeader(matches: (process: Process) => boolean = () => true): Promise<Process> {
		let leader: Process | undefined;
		await this.clock.runUntil(() => {
			leader = this.getLeader();
			return leader !== undefined && matches(leader);
		}, 30_000);
		if (leader === undefined || !matches(leader)) {
			throw new Error(`seed ${this.opts.seed}: no leader within 30 s: ${JSON.stringify([...this.processes.values()].map(process => process.node.status()))}`);
		}

		return leader;
	}

	/** Runs the simulation until the promise settles. */
	async runUntilSettled<T>(promise: Promise<T>, maxMs = 30_000): Promise<T> {
		let isSettled = false;
		const observe = async (): Promise<void> => {
			try {
				await promise;
			} finally {
				isSettled = true;
			}
		};

		const observed = observe();
		await this.clock.runUntil(() => isSettled, maxMs);
		await observed;
		return promise;
	}

	stopAll(): void {
		for (const id of this.processes.keys()) {
			this.crash(id);
		}
	}

	private async delayDelivery(from: string, to: string): Promise<void> {
		const isLost = this.blockedLinks.has(`${from}>${to}`);
		await this.clock.sleep(isLost ? Number.POSITIVE_INFINITY : 0.5 + (this.random() * 5));
	}
}
