import {setTimeout as delay} from 'node:timers/promises';
import type {DaemonProcess} from '@egretrill/testkit';
import type {FaultKind} from '../types.js';
import type {FleetUnderTest} from './fleet-under-test.js';
import type {Journal} from './journal.js';
import {callAdmin} from './operators.js';
import type {PlannedFault} from './plan-faults.js';

export type FaultContext = {readonly fleet: FleetUnderTest; readonly journal: Journal};

/** Injects one kind of fault, waits and repairs it. */
abstract class Fault {
	constructor(protected readonly context: FaultContext) {}

	async run({faultKind, subject, durationMs}: PlannedFault): Promise<void> {
		const {journal} = this.context;
		const fault = journal.createId('fault');
		journal.record({
			kind: 'fault-begun', fault, faultKind, subject,
		});
		await this.inject(subject, durationMs, fault);
		journal.record({kind: 'fault-ended', fault});
	}

	protected async restart(host: DaemonProcess): Promise<void> {
		await host.start();
		await host.waitUntilReady();
	}

	/** Injects the fault; resolves once it is repaired. */
	protected abstract inject(subject: string, durationMs: number, fault: string): Promise<void>;
}

class KillHost extends Fault {
	protected override async inject(subject: string, durationMs: number): Promise<void> {
		const host = this.context.fleet.getHost(subject);
		await host.kill();
		await delay(durationMs);
		await this.restart(host);
	}
}

class PauseHost extends Fault {
	protected override async inject(subject: string, durationMs: number): Promise<void> {
		const host = this.context.fleet.getHost(subject);
		host.pause();
		await delay(durationMs);
		host.resume();
	}
}

class CutZone extends Fault {
	protected override async inject(subject: string, durationMs: number): Promise<void> {
		const {fleet} = this.context.fleet;
		fleet.cutZone(subject);
		await delay(durationMs);
		await fleet.heal();
	}
}

class CutOneWay extends Fault {
	protected override async inject(subject: string, durationMs: number): Promise<void> {
		const {fleet} = this.context;
		const [from = '', to = ''] = subject.split('>');
		fleet.fleet.cutOneWay(fleet.getHost(from).peer, fleet.getHost(to).peer);
		await delay(durationMs);
		await fleet.fleet.heal();
	}
}

class KillTarget extends Fault {
	protected override async inject(subject: string, durationMs: number): Promise<void> {
		const {fleet} = this.context;
		await fleet.getTarget(subject).kill();
		await delay(durationMs);
		await fleet.startTarget(subject);
	}
}

class LeaveTarget extends Fault {
	protected override async inject(subject: string, durationMs: number): Promise<void> {
		const {fleet} = this.context;
		const target = fleet.getTarget(subject);
		await target.setFaults({leaving: true});
		await delay(durationMs);
		await target.kill();
		await fleet.startTarget(subject);
	}
}

/** A planned stop: by a drain request to the admin API if the fault lasts more than 2 s, otherwise, or if that request gets no answer, by a signal. */
class StopHost extends Fault {
	protected override async inject(subject: string, durationMs: number, fault: string): Promise<void> {
		const host = this.context.fleet.getHost(subject);
		const isDrainAccepted = durationMs > 2000 && await callAdmin(host, `/v1/hosts/${subject}/drain`, {}) !== undefined;
		const exitCode = await (isDrainAccepted ? host.waitForExit() : host.terminate());
		this.context.journal.record({kind: 'process-ended', fault, exitCode: exitCode ?? -1});
		await delay(durationMs);
		await this.restart(host);
	}
}

function createFaults(context: FaultContext): Readonly<Record<FaultKind, Fault>> {
	return {
		'kill-host': new KillHost(context),
		'pause-host': new PauseHost(context),
		'cut-zone': new CutZone(context),
		'cut-one-way': new CutOneWay(context),
		'kill-target': new KillTarget(context),
		'leave-target': new LeaveTarget(context),
		'stop-host': new StopHost(context),
	};
}

/** Injects the faults of a plan; a fault whose subject still has another fault is skipped. */
export async function runFaults(context: FaultContext, plan: readonly PlannedFault[]): Promise<void> {
	const faults = createFaults(context);
	const startedMs = performance.now();
	const busy = new Set<string>();
	await Promise.all(plan.map(async planned => {
		await delay(planned.atMs - (performance.now() - startedMs));
		const isCut = planned.faultKind === 'cut-zone' || planned.faultKind === 'cut-one-way';
		// The repair of a cut restores every link, so only one cut is active at a time.
		const subject = isCut ? 'links' : planned.subject;
		if (busy.has(subject)) {
			return;
		}

		busy.add(subject);
		await faults[planned.faultKind].run(planned);
		busy.delete(subject);
	}));
}
