import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import type {PeerHost} from '@egretrill/common';
import got from 'got';
import {START_TIMEOUT_MS} from './constants.js';
import {waitFor} from './wait.js';

export type LogLine = Readonly<Record<string, unknown>> & {readonly msg: string};
export type ProcessAddresses = {
	readonly callers: string; readonly targets: string; readonly peers: string; readonly health: string; readonly admin: string; readonly monitor: string;
};

/** Resource usage of a process: processor time is user plus system time; bytes count all reads and writes, which in an idle process are nearly all on connections. */
export type ProcessUsage = {readonly cpuSeconds: number; readonly residentMb: number; readonly readBytes: number; readonly writtenBytes: number};

const TICKS_PER_SECOND = 100;

const mainFile = path.join(path.dirname(createRequire(import.meta.url).resolve('@egretrill/testkit')), '../../../../apps/egretrilld/dist/src/main.js');

/** A daemon in a process of its own, which tests can pause and kill. */
export class DaemonProcess {
	readonly log: LogLine[] = [];
	readonly errors: string[] = [];
	private child: ChildProcess | undefined;
	private startedAddresses: ProcessAddresses | undefined;

	constructor(readonly peer: PeerHost, private readonly settingsFile: string, private readonly configFile: string, private readonly nodeArgs: readonly string[] = [mainFile]) {}

	get addresses(): ProcessAddresses {
		if (!this.startedAddresses) {
			throw new Error('The daemon has no addresses, because it has not started.');
		}

		return this.startedAddresses;
	}

	async start(): Promise<void> {
		const firstLine = this.log.length;
		const child = spawn(process.execPath, [...this.nodeArgs, '--settings', this.settingsFile, '--initial-config', this.configFile], {stdio: ['ignore', 'pipe', 'pipe']});
		this.child = child;
		createInterface({input: child.stdout}).on('line', line => {
			this.log.push(JSON.parse(line) as LogLine);
		});
		createInterface({input: child.stderr}).on('line', line => {
			this.errors.push(line);
		});
		const started = await waitFor(`the start of ${this.peer.id}`, () => {
			if (child.exitCode !== null) {
				throw new Error(`The daemon ${this.peer.id} exited: ${this.errors.join('\n')}`);
			}

			return this.log.slice(firstLine).find(line => line.msg === 'Daemon started.');
		}, START_TIMEOUT_MS);
		this.startedAddresses = started as unknown as ProcessAddresses;
	}

	async isReady(): Promise<boolean> {
		const res = await got(`http://${this.addresses.health}/readyz`, {throwHttpErrors: false, retry: {limit: 0}});
		return res.statusCode === 200;
	}

	async waitUntilReady(): Promise<void> {
		await waitFor(`readiness of ${this.peer.id}`, async () => await this.isReady() || undefined, START_TIMEOUT_MS);
	}

	/** Returns the processor time, resident memory and I/O bytes of the process. */
	async getUsage(): Promise<ProcessUsage> {
		const pid = this.child?.pid ?? 0;
		const [stat, status, io] = await Promise.all(['stat', 'status', 'io'].map(async name => readFile(`/proc/${pid}/${name}`, 'utf8'))) as [string, string, string];
		// The second field is the program's name in parentheses, which may contain spaces, so fields are counted from the closing one.
		const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
		const ticks = Number(fields[11]) + Number(fields[12]);
		const residentKb = Number(/VmRSS:\s+(\d+)/v.exec(status)?.[1] ?? 0);
		return {
			cpuSeconds: ticks / TICKS_PER_SECOND,
			residentMb: residentKb / 1024,
			readBytes: Number(/rchar: (\d+)/v.exec(io)?.[1] ?? 0),
			writtenBytes: Number(/wchar: (\d+)/v.exec(io)?.[1] ?? 0),
		};
	}

	pause(): void {
		this.child?.kill('SIGSTOP');
	}

	resume(): void {
		this.child?.kill('SIGCONT');
	}

	/** Kills the process immediately. */
	async kill(): Promise<void> {
		await this.stopWithSignal('SIGKILL');
	}

	/** Sends SIGTERM, which makes the daemon drain, and returns its exit code. */
	async terminate(): Promise<number | undefined> {
		return this.stopWithSignal('SIGTERM');
	}

	/** Waits until a process that is stopping has exited, and returns its exit code. */
	async waitForExit(): Promise<number | undefined> {
		const {child} = this;
		if (child?.exitCode === null && child.signalCode === null) {
			await once(child, 'exit');
		}

		return child?.exitCode ?? undefined;
	}

	private async stopWithSignal(signal: NodeJS.Signals): Promise<number | undefined> {
		const {child} = this;
		if (!child) {
			return undefined;
		}

		if (child.exitCode === null && child.signalCode === null) {
			const ended = once(child, 'exit');
			child.kill(signal);
			if (signal === 'SIGKILL') {
				// A process that is paused with SIGSTOP is resumed so that it can exit.
				child.kill('SIGCONT');
			}

			await ended;
		}

		return child.exitCode ?? undefined;
	}
}
