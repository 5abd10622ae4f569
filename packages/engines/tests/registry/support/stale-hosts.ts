import {
	createRandom, ManualClock, type Random, type Registration,
} from '@egretrill/common';
import {
	type AcquiredSlot, getHostPreference, HostSpeeds, TargetTable, type TargetRequirements,
} from '../../../src/registry/index.js';

const HOSTS = 70;
const TARGETS = 78;
const SLOTS = 12;
const TICK_MS = 10;
/** Figures of the other hosts are this old when they arrive, and arrive this often. */
const FIGURE_AGE_MS = 200;
const FIGURE_INTERVAL_MS = 800;
const EVENTS = 31;
const EVENT_MS = 45;
const REDRAW_MS = 600;
const MEASURED_FROM_MS = 3000;
const END_MS = 13_000;
const LATE_GAP_MS = 200;
const speeds = [0.6, 1, 1.6];

type Request = {readonly arrivedMs: number; readonly slot: AcquiredSlot};
type Running = Request & {readonly startedMs: number; readonly endsMs: number; isAnswered: boolean};

/** A target that runs as many requests as it has slots, and queues the others. */
class FakeTarget {
	readonly running: Running[] = [];
	readonly queued: Request[] = [];
	readonly counts: number[] = [];

	constructor(readonly id: string, readonly speed: number, private readonly random: Random, private readonly slowdowns: number[] = []) {}

	getSlowdown(nowMs: number): number {
		const index = Math.floor(nowMs / REDRAW_MS);
		this.slowdowns[index] ??= this.random() < 0.15 ? 2.5 : 1;
		return this.slowdowns[index];
	}

	/** Starts a queued request; returns whether a gap between its events is too long. */
	start(request: Request, nowMs: number): boolean {
		let endsMs = nowMs;
		let isLate = false;
		for (let event = 0; event < EVENTS; event += 1) {
			const gapMs = EVENT_MS / this.speed * this.getSlowdown(endsMs) * (1 + (this.running.length / (4 * SLOTS)));
			isLate ||= gapMs > LATE_GAP_MS;
			endsMs += gapMs;
		}

		this.running.push({
			...request, startedMs: nowMs, endsMs, isAnswered: false,
		});
		return isLate;
	}

	/** Ends requests and answers those whose first event is due. */
	run(nowMs: number): void {
		for (const request of this.running) {
			if (!request.isAnswered && nowMs - request.startedMs >= EVENT_MS) {
				request.isAnswered = true;
				request.slot.recordLoad({running: this.running.length, waiting: this.queued.length, slowdown: this.getSlowdown(nowMs)});
			}
		}

		for (const request of this.running.filter(({endsMs}) => endsMs <= nowMs)) {
			this.running.splice(this.running.indexOf(request), 1);
			request.slot.recordStream(EVENTS - 1, nowMs - request.startedMs);
			request.slot.release('answered');
		}

		this.counts.push(this.running.length + this.queued.length);
	}
}

const requirements: TargetRequirements = {
	service: 's', model: 'm', parts: [], tried: new Set(), work: {
		promptTokens: 0, outputTokens: 0, outputEvents: EVENTS - 1, targetLatencyMs: 253, mayReuseConnection: true,
	},
};

/** Hosts that choose among the same targets by figures of each other that are 200 to 1,000 ms old. */
export class StaleHosts {
	private readonly clock = new ManualClock();
	private readonly random = createRandom(5);
	private readonly targets = Array.from({length: TARGETS}, (_, i) => new FakeTarget(`t${i}`, speeds[i % speeds.length] ?? 1, createRandom(100 + i)));
	private readonly byId = new Map(this.targets.map(target => [target.id, target]));
	private readonly tables: readonly TargetTable[];
	private readonly waitsMs: number[] = [];
	private readonly spreads: number[] = [];
	private readonly served = new Map(speeds.map(speed => [speed, 0]));
	private lateStreams = 0;
	private pending: Array<{readonly host: number; readonly arrivedMs: number}> = [];

	constructor(usesSpeeds: boolean, private readonly perSecond: number) {
		this.tables = Array.from({length: HOSTS}, (_, host) => this.createTable(`h${host}`, usesSpeeds));
	}

	run(): unknown {
		while (this.clock.now() < END_MS) {
			this.clock.advance(TICK_MS);
			this.tick(this.clock.now());
		}

		const sorted = this.waitsMs.toSorted((a, b) => a - b);
		return {
			p99WaitMs: Math.round(sorted[Math.floor(sorted.length * 0.99)] ?? 0),
			unevenness: Number((this.spreads.reduce((sum, spread) => sum + spread, 0) / this.spreads.length).toFixed(2)),
			lateStreams: Number((this.lateStreams / sorted.length).toFixed(2)),
			servedAtSpeed: Object.fromEntries([...this.served].map(([speed, count]) => [speed, Number((count / sorted.length).toFixed(2))])),
		};
	}

	private createTable(hostId: string, usesSpeeds: boolean): TargetTable {
		const hostSpeeds = new HostSpeeds(this.clock);
		const table = new TargetTable({
			clock: this.clock, random: () => 0, zone: 'a', getColdRate: () => 0, getBatchSlots: () => SLOTS,
			...(usesSpeeds && {pricing: {speeds: hostSpeeds, getPreference: (targetId: string) => getHostPreference(hostId, targetId), hasIdleConnection: () => true}}),
		});
		const registrations = this.targets.map(({id}): Registration => ({
			targetId: id, startedAtMs: 1, sequence: 1, service: 's', address: `${id}:1`, zone: 'a', slots: SLOTS, isLeaving: false, coldForMs: 0, models: [{name: 'm', version: 1, adapters: []}], inMemory: [], onDisk: [],
		}));
		table.update({
			origin: 'r', revision: 1, isWhole: true, targets: registrations.map(registration => ({registration, ageMs: 0, hasEnded: false})),
		});
		hostSpeeds.apply({origin: 'o', revision: 1, changed: this.targets.map(({id, speed}) => ({targetId: id, startedAtMs: 1, speed: speed / (3.2 / 3)}))});
		return table;
	}

	private tick(nowMs: number): void {
		for (const target of this.targets) {
			target.run(nowMs);
			while (target.running.length < SLOTS && target.queued.length > 0) {
				this.start(target, target.queued.shift()!, nowMs);
			}
		}

		for (const [host, table] of this.tables.entries()) {
			if ((nowMs + (host * TICK_MS)) % FIGURE_INTERVAL_MS === 0) {
				this.sendFigures(table);
			}
		}

		for (let arrivals = this.perSecond * TICK_MS / 1000; arrivals > this.random(); arrivals -= 1) {
			this.pending.push({host: Math.floor(this.random() * HOSTS), arrivedMs: nowMs});
		}

		this.pending = this.pending.filter(request => !this.send(request, nowMs));
		this.recordSpread(nowMs);
	}

	private sendFigures(table: TargetTable): void {
		const own = new Map(table.getOwnRequests());
		table.setOtherHostsRequests(this.targets.map(({id, counts}) => [id, Math.max(0, (counts.at(-1 - (FIGURE_AGE_MS / TICK_MS)) ?? 0) - (own.get(id) ?? 0))]));
	}

	private send({host, arrivedMs}: {readonly host: number; readonly arrivedMs: number}, nowMs: number): boolean {
		const table = this.tables[host]!;
		const choice = table.choose(requirements);
		const slot = choice.kind === 'target' ? table.acquireSlot(choice.targetId, requirements) : undefined;
		const target = slot && this.byId.get(slot.registration.targetId);
		if (!target) {
			return false;
		}

		const request = {arrivedMs, slot};
		if (target.running.length < SLOTS) {
			this.start(target, request, nowMs);
		} else {
			target.queued.push(request);
		}

		return true;
	}

	private start(target: FakeTarget, request: Request, nowMs: number): void {
		const isLate = target.start(request, nowMs);
		if (request.arrivedMs >= MEASURED_FROM_MS) {
			this.waitsMs.push(nowMs - request.arrivedMs);
			this.lateStreams += Number(isLate);
			this.served.set(target.speed, (this.served.get(target.speed) ?? 0) + 1);
		}
	}

	/** Records the standard deviation of the requests at targets of one speed. */
	private recordSpread(nowMs: number): void {
		for (const speed of nowMs >= MEASURED_FROM_MS ? speeds : []) {
			const counts = this.targets.filter(target => target.speed === speed).map(target => target.counts.at(-1) ?? 0);
			const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
			this.spreads.push(Math.sqrt(counts.reduce((sum, count) => sum + ((count - mean) ** 2), 0) / counts.length));
		}
	}
}
