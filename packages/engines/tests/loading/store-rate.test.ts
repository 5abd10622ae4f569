import {setMaxListeners} from 'node:events';
import {
	createLogger, createRandom, type EngineClass, type HeldModel, ManualClock, type Registration,
} from '@egretrill/common';
import {expect} from 'chai';
import {
	type EngineAddress, EngineOrders, EngineOwner, type EngineReport, type LoadOrder, type LoadOrderOutcome,
} from '../../src/loading/index.js';
import {TargetRegistry} from '../../src/registry/index.js';

const ENGINES = 120;
const LOADS_PER_SECOND = 8;
const WINDOW_MS = 5000;
const LOAD_MS = 4000;
/** Unloads take long at first, as those of busy models do, and then hardly any time. */
const LONG_UNLOAD_MS = 2500;
const LAST_LONG_UNLOAD_MS = 5000;

const missing = Array.from({length: ENGINES}, (_, i) => `m${i}`);
const engineClass: EngineClass = {
	batchSlots: 12,
	weightsMb: 200,
	adapterSlots: 2,
	storeLoadsPerSecond: LOADS_PER_SECOND,
	models: ['x', 'y', ...missing].map(name => ({
		name, weightsMb: 90, storeLoadMs: LOAD_MS, diskLoadMs: 1000, memoryLoadMs: 400, adapterMb: 1,
	})),
};

type Engine = {models: readonly HeldModel[]; orderCount: number; busyUntilMs: number};

/** Engines whose unloads take less time from one moment on, so that their loads follow those that were planned earlier. */
class UnloadingEngines extends EngineOrders {
	readonly startsMs: number[] = [];
	readonly engines = new Map(missing.map((_, i): [string, Engine] => [`t${i}`, {models: ['x', 'y'].map(name => ({name, version: 1, adapters: []})), orderCount: 0, busyUntilMs: 0}]));

	constructor(private readonly clock: ManualClock) {
		super();
	}

	override async send({targetId}: EngineAddress, {kind, model}: LoadOrder): Promise<LoadOrderOutcome> {
		const engine = this.engines.get(targetId)!;
		const nowMs = this.clock.now();
		engine.orderCount += 1;
		if (kind === 'load-model') {
			this.startsMs.push(nowMs);
		}

		const unloadMs = nowMs < LAST_LONG_UNLOAD_MS ? LONG_UNLOAD_MS : 0;
		engine.busyUntilMs = nowMs + (kind === 'load-model' ? LOAD_MS : unloadMs);
		void this.finish(engine, kind, model);
		return 'begun';
	}

	override async getReport({targetId}: EngineAddress): Promise<EngineReport> {
		const {models, orderCount, busyUntilMs} = this.engines.get(targetId)!;
		return {models: [...models], isBusy: this.clock.now() < busyUntilMs, orderCount};
	}

	private async finish(engine: Engine, kind: LoadOrder['kind'], model: string): Promise<void> {
		await this.clock.sleep(engine.busyUntilMs - this.clock.now());
		const others = engine.models.filter(({name}) => name !== model);
		engine.models = kind === 'load-model' ? [...others, {name: model, version: 1, adapters: []}] : others;
	}
}

async function playLoads(): Promise<readonly number[]> {
	const clock = new ManualClock();
	const orders = new UnloadingEngines(clock);
	const registry = new TargetRegistry(clock, 'r');
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	const owner = new EngineOwner({
		clock, random: createRandom(1), logger: createLogger('test', 'fatal'), registry, orders, holder: 'h', fencingToken: 1, firstOrderAtMs: 0, mayOrder: () => true, getZonesOut: () => [], getClasses: () => new Map([['s', engineClass]]),
	});
	const report = async (): Promise<void> => {
		for (let sequence = 1; !controller.signal.aborted; sequence++) {
			for (const [targetId, {models}] of orders.engines) {
				const registration: Registration = {
					targetId, startedAtMs: 1, sequence, service: 's', address: `${targetId}:1`, zone: 'z', slots: 12, isLeaving: false, coldForMs: 0, models: [...models], inMemory: [], onDisk: [],
				};
				registry.accept(registration);
			}

			owner.recordWaiting('h1', missing.map(model => ['s', model, 1, 0]));
			await clock.sleep(500, controller.signal);
		}
	};

	void report();
	void owner.run(controller.signal);
	await clock.run(25_000);
	controller.abort();
	await clock.run(1);
	return orders.startsMs;
}

describe('EngineOwner with a weight store of limited rate', () => {
	// Guards against loads beyond the rate of the store when orders that were planned at intervals are sent together, after unloads of different duration.
	it('starts no more loads in any window than the store allows', async () => {
		const startsMs = await playLoads();
		const mostInWindow = Math.max(...startsMs.map(startMs => startsMs.filter(atMs => atMs >= startMs && atMs < startMs + WINDOW_MS).length));
		expect(startsMs.length).to.be.at.least(60);
		expect(mostInWindow).to.be.at.most((LOADS_PER_SECOND * 1.1 * WINDOW_MS / 1000) + 3);
	});
});
