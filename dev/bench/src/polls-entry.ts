import {SlotQueue} from '@egretrill/callers';
import {ManualClock, type Random} from '@egretrill/common';
import {TargetSlotSource} from '@egretrill/egretrilld/traffic';
import {TargetTable, type TargetRequirements} from '@egretrill/engines';
import {CpuMeter} from './cpu-meter.js';
import {
	createRegistration, FLEET, pickRequestKind, SERVICE,
} from './polls-fleet.js';

const SECONDS = 5;
/** Requests per second of one host; as many as a whole fleet gets, so that the time of a single request is measured precisely. */
const REQUESTS_PER_SECOND = 1000;
const POLLS_PER_SECOND = 10;
/** Requests that wait at the host for adapters that no engine has loaded. */
const WAITING_REQUESTS = 100;
const RUNNING_REQUESTS = 40;

function createRequirements(model: string, adapter: string): TargetRequirements {
	return {
		service: SERVICE, model, adapter, parts: Array.from({length: 6}, (_, i) => ({id: `${model}-part-${i}`, tokens: 200})), tried: new Set(),
	};
}

/** Measures the work of an entry host for requests and polls, without connections. */
export function measureEntryHost(random: Random): Record<string, {readonly ms: number; readonly calls: number}> {
	const meter = new CpuMeter();
	const clock = new ManualClock();
	const targets = new TargetTable({
		clock, random: () => 0, zone: 'zone-0', getColdRate: () => 2, getBatchSlots: () => 64,
	});
	targets.update({
		origin: 'o', revision: 1, isWhole: true, targets: Array.from({length: FLEET.engines}, (_, i) => ({registration: createRegistration(i, 1), ageMs: 0, hasEnded: false})),
	});
	const queue = new SlotQueue(clock, new TargetSlotSource({
		clock, targets, requestColdSend: () => undefined, requestAdapter: async () => undefined,
	}));
	const limits = {unplannedMs: 1e9, plannedMs: 1e9, saturatedMs: 1e9};
	for (let i = 0; i < WAITING_REQUESTS; i++) {
		void queue.acquire(createRequirements(`model-${i % FLEET.models}`, `missing-${i}`), 1, limits, new AbortController().signal);
	}

	const running: Array<() => void> = [];
	for (let i = 0; i < SECONDS * REQUESTS_PER_SECOND; i++) {
		clock.advance(1);
		const {model, adapter} = pickRequestKind(random);
		const requirements = createRequirements(model, adapter);
		meter.measure('choices of targets', () => {
			const choice = targets.choose(requirements);
			const slot = choice.kind === 'target' ? targets.acquireSlot(choice.targetId, requirements) : undefined;
			running.push(() => {
				slot?.release('answered');
			});
		});
		if (running.length > RUNNING_REQUESTS) {
			meter.measure('ends of requests', () => running.shift()?.());
		}

		if (i % (REQUESTS_PER_SECOND / POLLS_PER_SECOND) === 0) {
			meter.measure('reports of polls', () => [targets.getOwnRequests(), targets.getAdapterUses(), queue.getWaitingByModel()]);
			meter.measure('others of polls', () => {
				targets.setOtherHostsRequests(Array.from({length: FLEET.engines}, (_, k) => [`engine-${k}`, 20]));
			});
		}

		if (i % 10 === 0) {
			meter.measure('requests that begin to wait', () => {
				const caller = new AbortController();
				void queue.acquire(createRequirements(model, 'missing'), 1, limits, caller.signal);
				caller.abort();
			});
		}

		if (i % 20 === 0) {
			meter.measure('tries of waiting requests', () => {
				queue.dispatch();
			});
		}
	}

	return meter.getPerSecond(SECONDS);
}
