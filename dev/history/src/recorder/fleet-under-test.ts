import type {PeerHost, Settings} from '@egretrill/common';
import type {TargetEvent} from '@egretrill/stand-ins';
import {
	type DaemonProcess, findPorts, Fleet, TargetProcess,
} from '@egretrill/testkit';
import {HOSTS_PER_ZONE, WARM_AFTER_REQUESTS, ZONES} from './constants.js';
import {
	createTestConfig, ENGINE_MB, MODEL_MB, MODELS,
} from './test-config.js';

type TargetPlan = {readonly targetId: string; readonly zone: string; readonly service?: string; readonly models?: readonly string[]};

/** Each model has copies in several zones; the engines numbered 2 have memory for one more model. */
const targetPlans: readonly TargetPlan[] = ZONES.flatMap((zone, i) => [
	{targetId: `engine-${zone}-1`, zone, models: ['inscription', 'relief']},
	{targetId: `engine-${zone}-2`, zone, models: [MODELS[i] ?? 'chart']},
	{targetId: `registry-${zone}`, zone, service: 'registry'},
	{targetId: `ordering-${zone}`, zone, service: 'ordering'},
]);

/** Fixes the ports of callers, targets and admin over restarts, because targets and callers get the addresses once, at the start. */
async function createListenSettings(host: PeerHost): Promise<Partial<Settings>> {
	const [callers, targets, admin] = await findPorts(3);
	const anyPort = '127.0.0.1:0';
	return {
		listen: {
			callers: `127.0.0.1:${callers}`, targets: `127.0.0.1:${targets}`, admin: `127.0.0.1:${admin}`, peers: host.address, monitor: anyPort, health: anyPort,
		},
	};
}

/** A fleet of daemons in three zones, with the stand-in targets to which it routes. */
export class FleetUnderTest {
	static async start(): Promise<FleetUnderTest> {
		const fleet = await Fleet.start({
			fleet: 'local', zones: Array.from({length: HOSTS_PER_ZONE}, () => ZONES).flat(), config: createTestConfig(), hasLinks: true, prepare: createListenSettings,
		});
		const started = new FleetUnderTest(fleet);
		await Promise.all(targetPlans.map(async plan => started.startTarget(plan.targetId)));
		return started;
	}

	private readonly targets: TargetProcess[] = [];
	private readonly currentTargets = new Map<string, TargetProcess>();

	private constructor(readonly fleet: Fleet) {}

	get targetIds(): readonly string[] {
		return targetPlans.map(({targetId}) => targetId);
	}

	getHost(id: string): DaemonProcess {
		return this.fleet.getHost(this.fleet.hosts.findIndex(({peer}) => peer.id === id));
	}

	getTarget(targetId: string): TargetProcess {
		const target = this.currentTargets.get(targetId);
		if (!target) {
			throw new Error(`There is no target ${targetId}.`);
		}

		return target;
	}

	/** Starts a target, or restarts one that has exited, as a new cold process. */
	async startTarget(targetId: string): Promise<void> {
		const {zone, service, models = []} = targetPlans.find(plan => plan.targetId === targetId)!;
		const location = {targetId, zone, hosts: [...this.fleet.getTargetAddresses(zone)]};
		const target = await TargetProcess.start(service === undefined
			? {
				...location,
				kind: 'engine',
				memoryMb: ENGINE_MB,
				slots: 8,
				// A cold engine fails only above its slots, so that only the ramp limits the requests that it gets.
				coldSlots: 8,
				warmAfterRequests: WARM_AFTER_REQUESTS,
				resident: models.map(model => ({model, version: 'v1', adapters: []})),
				sizesMb: Object.fromEntries(MODELS.map(model => [model, MODEL_MB])),
			}
			: {...location, kind: 'service', service});
		this.targets.push(target);
		this.currentTargets.set(targetId, target);
	}

	/** Events recorded by all targets, including those that were killed. */
	getTargetEvents(): readonly TargetEvent[] {
		return this.targets.flatMap(({events}) => events);
	}

	async stop(): Promise<void> {
		await Promise.all(this.targets.map(async target => target.kill()));
		await this.fleet.stop();
	}
}
