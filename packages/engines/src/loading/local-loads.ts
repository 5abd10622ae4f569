import type {EngineClass, StoredModel} from '@egretrill/common';
import {
	BUSY_UNLOAD_MS, IDLE_UNLOAD_MS, LAST_COPY_RATIO, MAX_IDLE_SLOTS,
} from './constants.js';
import type {MovingEngine} from './estimate-ready-times.js';
import type {ModelDemand} from './types.js';

type LocalEngine = MovingEngine & {readonly freeAtMs: number};
type LocalLoad = {readonly index: number; readonly engine: LocalEngine};

/** Loads from the memory or disk of engines, one after the other at each engine. Full engines unload models first, if the rules of eviction allow it. */
export class LocalLoads {
	private readonly engines: LocalEngine[];
	private readonly models: ReadonlyMap<string, StoredModel>;
	private readonly neededSlots: ReadonlyMap<string, number>;
	private readonly copies = new Map<string, number>();
	private readonly weightsMb: number;

	constructor({models, weightsMb}: EngineClass, engines: readonly MovingEngine[], demand: readonly ModelDemand[]) {
		this.weightsMb = weightsMb;
		this.models = new Map(models.map(model => [model.name, model]));
		this.neededSlots = new Map(demand.map(({model, places, crowded}) => [model, places + crowded]));
		this.engines = engines.filter(({loading}) => loading === undefined).map(engine => ({...engine, freeAtMs: 0}));
		for (const model of engines.flatMap(engine => engine.models)) {
			this.copies.set(model, (this.copies.get(model) ?? 0) + 1);
		}
	}

	/** Plans the load of a model that needs a number of slots; returns when it ends, or undefined if no engine can end it before a limit. */
	plan(model: string, neededSlots: number, limitMs: number): number | undefined {
		let soonest: LocalLoad | undefined;
		for (const [index, known] of this.engines.entries()) {
			const engine = this.addLoad(known, model, neededSlots);
			if (engine && engine.freeAtMs < (soonest?.engine.freeAtMs ?? limitMs)) {
				soonest = {index, engine};
			}
		}

		if (!soonest) {
			return undefined;
		}

		this.apply(soonest, model);
		return soonest.engine.freeAtMs;
	}

	private apply({index, engine}: LocalLoad, model: string): void {
		const unloaded = this.engines[index]!.models.filter(name => !engine.models.includes(name));
		for (const name of unloaded) {
			this.copies.set(name, this.copies.get(name)! - 1);
		}

		this.copies.set(model, (this.copies.get(model) ?? 0) + 1);
		this.engines[index] = engine;
	}

	/** The engine after the load, or undefined if it lacks the weights or may not make room. */
	private addLoad(engine: LocalEngine, name: string, neededSlots: number): LocalEngine | undefined {
		const model = this.models.get(name);
		const loadMs = model && getLocalLoadMs(engine, model);
		if (!model || loadMs === undefined) {
			return undefined;
		}

		let remaining = engine.models;
		let freeAtMs = engine.freeAtMs + loadMs;
		for (const evicted of this.listEvictable(engine, neededSlots)) {
			if (this.hasRoom(remaining, model)) {
				break;
			}

			remaining = remaining.filter(other => other !== evicted);
			freeAtMs += this.isIdle(evicted) ? IDLE_UNLOAD_MS : BUSY_UNLOAD_MS;
		}

		return this.hasRoom(remaining, model) ? {...engine, models: [...remaining, name], freeAtMs} : undefined;
	}

	/** Models of an engine that may be evicted for one without a copy, in ascending order of demand. */
	private listEvictable({models}: LocalEngine, neededSlots: number): readonly string[] {
		return models
			.filter(model => this.isIdle(model) || (this.copies.get(model) ?? 0) > 1 || this.getNeededSlots(model) * LAST_COPY_RATIO <= neededSlots)
			.toSorted((a, b) => this.getNeededSlots(a) - this.getNeededSlots(b));
	}

	private hasRoom(held: readonly string[], {weightsMb}: StoredModel): boolean {
		// A model of unknown size may use the whole engine.
		const usedMb = held.reduce((sum, model) => sum + (this.models.get(model)?.weightsMb ?? this.weightsMb), 0);
		return usedMb + weightsMb <= this.weightsMb;
	}

	private getNeededSlots(model: string): number {
		return this.neededSlots.get(model) ?? 0;
	}

	private isIdle(model: string): boolean {
		return this.getNeededSlots(model) < MAX_IDLE_SLOTS;
	}
}

function getLocalLoadMs({inMemory = [], onDisk = []}: MovingEngine, {name, memoryLoadMs, diskLoadMs}: StoredModel): number | undefined {
	if (inMemory.includes(name)) {
		return memoryLoadMs;
	}

	return onDisk.includes(name) ? diskLoadMs : undefined;
}
