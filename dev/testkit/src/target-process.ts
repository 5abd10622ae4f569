import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {
	type EngineOptions, type Faults, type ReceivedRequest, TargetEvent,
} from '@egretrill/stand-ins';
import got from 'got';

type TargetOptions =
	| ({readonly kind: 'engine'} & Partial<EngineOptions> & Pick<EngineOptions, 'targetId' | 'zone' | 'hosts'>)
	| {readonly kind: 'service'; readonly targetId: string; readonly zone: string; readonly service: string; readonly hosts: readonly string[]};

/** What a stand-in has recorded of its own work, for comparison with the reports of the system under test. */
export type TargetRecords = {
	readonly runs?: readonly string[]; readonly begunRequests?: readonly string[]; readonly peakRunning?: number; readonly memoryMb?: number; readonly peakMemoryMb?: number;
	readonly received: readonly ReceivedRequest[];
};

const mainFile = path.join(path.dirname(createRequire(import.meta.url).resolve('@egretrill/stand-ins')), 'main.js');

/** A stand-in target in a process of its own, which tests can kill. */
export class TargetProcess {
	/** Starts a target and waits until it listens. */
	static async start(opts: TargetOptions): Promise<TargetProcess> {
		const child = spawn(process.execPath, [mainFile, JSON.stringify(opts)], {stdio: ['ignore', 'pipe', 'inherit']});
		const lines = createInterface({input: child.stdout});
		const [line] = await once(lines, 'line') as [string];
		const {address, startId} = JSON.parse(line) as {address: string; startId: string};
		const target = new TargetProcess(child, address, startId);
		lines.on('line', event => {
			target.events.push(TargetEvent.parse(JSON.parse(event)));
		});
		return target;
	}

	/** Events that the target has emitted, complete up to a kill. */
	readonly events: TargetEvent[] = [];

	private constructor(private readonly child: ChildProcess, readonly address: string, readonly startId: string) {}

	get isAlive(): boolean {
		return this.child.exitCode === null && this.child.signalCode === null;
	}

	async setFaults(faults: Faults): Promise<void> {
		await got.post(`http://${this.address}/faults`, {json: faults, retry: {limit: 0}});
	}

	async getRecords(): Promise<TargetRecords> {
		return got(`http://${this.address}/books`, {retry: {limit: 0}}).json<TargetRecords>();
	}

	async kill(): Promise<void> {
		if (this.isAlive) {
			const ended = once(this.child, 'exit');
			this.child.kill('SIGKILL');
			await ended;
		}
	}
}
