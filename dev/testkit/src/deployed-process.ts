import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {connect, type Socket} from 'node:net';
import {setTimeout} from 'node:timers/promises';

/** Memory that a process of the deployment may use. */
export const MAX_PROCESS_BYTES = 350_000_000;

/** Time without a change after which the bytes of unfinished requests count as settled. */
const QUIET_MS = 300;

/** What a process under test reports: its port when it has started, and its peak memory when it is asked. */
export type ProcessReport = {readonly port: number} | {readonly peakBytes: number};

/** The peak memory of a process as Linux knows it. What the process itself reports counts the memory that its parent had when it started it. */
async function readPeakBytes(pid: number | undefined): Promise<number | undefined> {
	try {
		const status = await readFile(`/proc/${pid}/status`, 'utf8');
		const peakKb = /^VmHWM:\s+(?<kb>\d+) kB$/mv.exec(status)?.groups?.kb;
		return peakKb === undefined ? undefined : 1024 * Number(peakKb);
	} catch {
		// Other systems have no such file.
		return undefined;
	}
}

/** A server in a process of its own, with the flags of the deployment. */
export class DeployedProcess {
	/** Starts a module that reports a `ProcessReport` when it has started and for each message. */
	static async start(module: URL, args: readonly string[] = []): Promise<DeployedProcess> {
		const deployment = await readFile(new URL('../../../../deploy/system.toml', import.meta.url), 'utf8');
		const execArgv = /^run = "node (?<flags>.+) \S+"$/mv.exec(deployment)?.groups?.flags?.split(' ') ?? [];
		const child = fork(module, args, {execArgv});
		const [report] = await once(child, 'message') as [ProcessReport];
		return new DeployedProcess(child, 'port' in report ? report.port : 0);
	}

	private readonly sockets: Socket[] = [];

	private constructor(private readonly child: ChildProcess, readonly port: number) {}

	/** Sends requests whose answers are not read, and waits until nothing of them moves any more. */
	async occupy(request: string, count: number): Promise<void> {
		const bytes = new TextEncoder().encode(request);
		const opened = Array.from({length: count}, () => {
			const socket = connect({port: this.port, host: '127.0.0.1'});
			socket.on('error', () => undefined);
			socket.write(bytes);
			return socket;
		});
		this.sockets.push(...opened);
		const countPending = (): number => opened.reduce((sum, {destroyed, writableLength}) => sum + (destroyed ? 0 : writableLength), 0);
		for (let before = -1, pending = countPending(); pending !== before; pending = countPending()) {
			before = pending;
			await setTimeout(QUIET_MS);
		}
	}

	/** The largest memory that the process has had; undefined if it has ended. */
	async getPeakBytes(): Promise<number | undefined> {
		if (!this.child.connected) {
			return undefined;
		}

		const ended = once(this.child, 'exit');
		this.child.send('report');
		const [report] = await Promise.race([once(this.child, 'message'), ended]) as [ProcessReport | number | undefined];
		return report && typeof report === 'object' && 'peakBytes' in report ? await readPeakBytes(this.child.pid) ?? report.peakBytes : undefined;
	}

	close(): void {
		for (const socket of this.sockets) {
			socket.destroy();
		}

		if (this.child.connected) {
			this.child.disconnect();
		}
	}
}
