import {setTimeout as delay} from 'node:timers/promises';
import {createRandom, type Random} from '@egretrill/common';
import {
	createSoakConfig, PlatformFleet, StreamTarget, type TargetRun,
} from '@egretrill/platform/testing';
import type {SoakRecord} from './check-calls.js';
import {
	CONTROL_HOSTS, GRACE_SECONDS, READY_POLL_MS, routes, TARGETS,
} from './constants.js';
import {SoakCaller} from './soak-caller.js';
import type {CallRecord, StepRecord} from './types.js';

export type SoakOptions = {
	readonly seed: number;
	readonly seconds: number;
	readonly entries: number;
	readonly callers: number;
	/** Program that is run in place of the current one, such as that of an earlier build. */
	readonly programFile?: string;
};

/** What a run has recorded, with the log lines of each entry host. */
export type SoakResult = SoakRecord & {readonly logs: readonly unknown[][]};

/** Longest pause between two planned steps. */
const MAX_STEP_MS = 900;
/** Time for which the fleet serves before the first step, so that hosts know how long requests take. */
const WARM_UP_MS = 3000;
/** Longest time for which a control host is down or frozen, and the pause before the next such trouble. */
const MAX_CONTROL_TROUBLE_MS = 3000;
const CONTROL_RECOVERY_MS = 3000;
const FIRST_VERSION = 1;
/** Seeds of targets follow those of callers. */
const FIRST_TARGET_SEED = 900;

/** One soak: a fleet of processes, targets, callers, and planned work that comes in series and overlaps. */
class Soak {
	readonly calls: CallRecord[] = [];
	readonly runs: TargetRun[] = [];
	readonly steps: StepRecord[] = [];
	readonly fleet: PlatformFleet;
	private readonly random: Random;
	/** Half of the seeds have targets that never fall silent: a silence in the past of a route lets a host expect more of each request. */
	private readonly isSteady: boolean;
	private readonly stopper = new AbortController();
	private readonly targets: StreamTarget[] = [];
	private targetCount = 0;
	private version = FIRST_VERSION;
	private configured = Promise.resolve();
	private readyHosts: readonly number[] = [];
	private readonly stopping = new Set<number>();
	private readonly starting = new Set<number>();
	private isControlDisturbed = false;
	private readonly pending = new Set<Promise<void>>();

	constructor(private readonly opts: SoakOptions) {
		this.random = createRandom(opts.seed);
		this.isSteady = opts.seed % 2 === 0;
		this.fleet = new PlatformFleet({
			controls: CONTROL_HOSTS, entries: opts.entries, graceSeconds: GRACE_SECONDS, ...(opts.programFile !== undefined && {programFile: opts.programFile}),
		});
	}

	async run(): Promise<void> {
		const {fleet, opts} = this;
		try {
			await fleet.start();
			await Promise.all(Array.from({length: TARGETS}, async () => this.startTarget()));
			await fleet.put(createSoakConfig(this.version, routes));
			await fleet.waitUntilReady();
			const tasks = [this.followReadiness(), ...Array.from({length: opts.callers}, async (_, i) => this.createCaller(i).run(this.stopper.signal))];
			await delay(WARM_UP_MS);
			await this.disturb(performance.now() + (opts.seconds * 1000));
			await Promise.all(this.pending);
			this.stopper.abort();
			await Promise.all(tasks);
		} finally {
			this.stopper.abort();
			for (const target of this.targets) {
				target.stop();
			}

			await fleet.stop();
		}
	}

	private createCaller(index: number): SoakCaller {
		return new SoakCaller({
			name: `c${index}`, isSteady: this.isSteady, random: createRandom((this.opts.seed * 1000) + index), calls: this.calls, getAddress: host => this.fleet.getEntry(host), getReadyHosts: () => this.readyHosts,
		});
	}

	private async startTarget(): Promise<void> {
		this.targetCount += 1;
		const target = new StreamTarget({
			id: `i-${this.targetCount}`,
			service: 'desk',
			zone: this.targetCount,
			controls: Array.from({length: CONTROL_HOSTS}, (_, i) => this.fleet.getControl(i)),
			runs: this.runs,
			random: createRandom((this.opts.seed * 1000) + FIRST_TARGET_SEED + this.targetCount),
			fallsSilent: !this.isSteady,
			isColdAtStart: this.targetCount > TARGETS,
		});
		this.targets.push(target);
		await target.start();
	}

	/** Finds out which hosts are ready, as the balancer does. */
	private async followReadiness(): Promise<void> {
		while (!this.stopper.signal.aborted) {
			const hosts = Array.from({length: this.opts.entries}, (_, i) => i);
			const ready = await Promise.all(hosts.map(async host => this.fleet.isReady(host)));
			this.readyHosts = hosts.filter(host => ready[host]);
			await delay(READY_POLL_MS);
		}
	}

	private async disturb(endMs: number): Promise<void> {
		while (performance.now() < endMs) {
			const task = this.step();
			this.pending.add(task);
			await delay(MAX_STEP_MS * this.random());
		}
	}

	/** Carries out one planned step; several may be under way at the same time. */
	private async step(): Promise<void> {
		const draw = this.random();
		const host = Math.floor(this.random() * this.opts.entries);
		if (draw < 0.45) {
			await this.restartEntry(host);
		} else if (draw < 0.6) {
			this.reload(host);
		} else if (draw < 0.8) {
			await this.configure();
		} else if (draw < 0.9) {
			await this.replaceTarget();
		} else {
			await this.disturbControl();
		}
	}

	private record(kind: StepRecord['kind'], host: number): void {
		this.steps.push({kind, host, atMs: performance.now()});
	}

	/** Stops an entry host as planned and starts it again at once; another one that stops meanwhile leaves at least one third serving. */
	private async restartEntry(host: number): Promise<void> {
		const entry = this.fleet.entries[host];
		if (!entry || this.stopping.has(host) || this.stopping.size >= this.opts.entries * 2 / 3) {
			return;
		}

		this.stopping.add(host);
		this.record('stop', host);
		const hasSecondSignal = this.random() < 0.2;
		const stopped = entry.stop('SIGTERM');
		if (hasSecondSignal) {
			await delay(GRACE_SECONDS * 1000 * this.random());
			this.record('second-signal', host);
			entry.send('SIGTERM');
		}

		await stopped;
		this.record('exit', host);
		this.starting.add(host);
		await entry.start();
		this.starting.delete(host);
		this.record('start', host);
		this.stopping.delete(host);
	}

	/** Lets a host read its settings again, unless its program is still loading: the signal would end it. */
	private reload(host: number): void {
		if (!this.starting.has(host)) {
			this.record('reload', host);
			this.fleet.entries[host]?.send('SIGHUP');
		}
	}

	/** Changes the configuration, after the change before: a control host may be slow, and an older version is refused. */
	private async configure(): Promise<void> {
		this.configured = this.configureAfter(this.configured);
		await this.configured;
	}

	private async configureAfter(before: Promise<void>): Promise<void> {
		await before;
		this.version += 1;
		this.record('configure', -1);
		await this.fleet.put(createSoakConfig(this.version, routes));
	}

	/** Kills or freezes a control host, one at a time, so that most of them run. Callers and targets do not go through it, so that it excuses none of their losses. */
	private async disturbControl(): Promise<void> {
		const host = Math.floor(this.random() * CONTROL_HOSTS);
		const isKilled = this.random() < 0.5;
		const ms = MAX_CONTROL_TROUBLE_MS * this.random();
		const control = this.fleet.controls[host];
		if (!control || this.isControlDisturbed) {
			return;
		}

		this.isControlDisturbed = true;
		this.record(isKilled ? 'kill-control' : 'freeze-control', host);
		if (isKilled) {
			await control.stop('SIGKILL');
			await delay(ms);
			await control.start();
		} else {
			control.send('SIGSTOP');
			await delay(ms);
			control.send('SIGCONT');
		}

		await delay(CONTROL_RECOVERY_MS);
		this.isControlDisturbed = false;
	}

	/** Starts a target and lets another one leave as planned. */
	private async replaceTarget(): Promise<void> {
		this.record('leave', -1);
		await this.startTarget();
		const target = this.targets.shift();
		await target?.leave();
		target?.stop();
	}
}

/** Runs one soak with real processes and returns what callers, targets and the hosts' logs have recorded. */
export async function runSoak(opts: SoakOptions): Promise<SoakResult> {
	const soak = new Soak(opts);
	await soak.run();
	const {calls, runs, steps, fleet} = soak;
	return {
		calls, runs, steps, logs: fleet.entries.map(({log}) => [...log]),
	};
}
