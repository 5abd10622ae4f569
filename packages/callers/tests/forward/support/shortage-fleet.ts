import {setImmediate as nextTurn} from 'node:timers/promises';
import {createRandom, ManualClock} from '@egretrill/common';
import {
	getWaitLimits, SlotQueue, type SlotRequirements, type SlotResult, SlotSource, ShortageOwner, type TargetSlot,
} from '../../../src/forward/index.js';

const STEP_MS = 5;
const HOSTS = 70;
const POLL_MS = 280;
const OTHERS_TTL_MS = 3000;
const DISPATCH_MS = 100;
const ENGINE_SLOTS = 12;
const ENGINE_QUEUE = 25;
const MODELS = 10;
const ENGINES = 10;
/** Time after the last arrival in which the calls end. */
const DRAIN_MS = 20_000;

/** A kind of requests; its rate is that of all hosts without a wave. */
export type Kind = {readonly name: string; readonly perSecond: number; readonly targetLatencyMs: number; readonly timeoutMs: number; readonly priority: number; readonly runMs: number};

type Job = {readonly kind: Kind; readonly onStart: () => void; readonly onEnd: () => void; endMs: number};

/** An engine that queues by priority what exceeds its slots. */
class Engine {
	running: Job[] = [];
	private readonly queued: Job[] = [];

	constructor(readonly id: string, private readonly clock: ManualClock) {}

	get outstanding(): number {
		return this.running.length + this.queued.length;
	}

	submit(job: Job): boolean {
		if (this.queued.length >= ENGINE_QUEUE) {
			return false;
		}

		this.queued.push(job);
		this.queued.sort((a, b) => a.kind.priority - b.kind.priority);
		this.step();
		return true;
	}

	step(): void {
		const nowMs = this.clock.now();
		const ended = this.running.filter(({endMs}) => endMs <= nowMs);
		this.running = this.running.filter(({endMs}) => endMs > nowMs);
		while (this.running.length < ENGINE_SLOTS && this.queued.length > 0) {
			const job = this.queued.shift()!;
			job.endMs = nowMs + job.kind.runMs;
			this.running.push(job);
			job.onStart();
		}

		for (const {onEnd} of ended) {
			onEnd();
		}
	}
}

/** The targets as one host knows them: its own requests at once, those of the others as of its last poll. */
class HostSlots extends SlotSource {
	readonly own = new Map<string, number>();
	others: ReadonlyMap<string, number> = new Map();
	polledMs = 0;
	hasChanged = false;

	constructor(private readonly engines: readonly Engine[], private readonly clock: ManualClock) {
		super();
	}

	override findSlot({model, beyondSlots = 0}: SlotRequirements): SlotResult {
		const index = Number(model);
		const others = this.clock.now() - this.polledMs > OTHERS_TTL_MS ? undefined : this.others;
		const counts = [index, (index + 1) % ENGINES].map(i => this.engines[i]!).map(({id}) => ({id, count: (this.own.get(id) ?? 0) + (others?.get(id) ?? 0)}));
		const best = counts.toSorted((first, second) => first.count - second.count)[0]!;
		if (best.count >= Math.max(ENGINE_SLOTS / 2, ENGINE_SLOTS + beyondSlots)) {
			return {kind: 'full'};
		}

		this.change(best.id, 1);
		return {
			kind: 'slot', slot: {
				targetId: best.id, address: '', zone: 'a', startedAtMs: 1, wasCold: false, isLeaving: () => false, outstanding: best.count, recordStream: () => undefined, recordLoad: ({running, waiting}) => {
					this.others = new Map([...this.others, [best.id, Math.max(0, running + waiting - (this.own.get(best.id) ?? 0))]]);
					this.hasChanged = true;
				}, reportSilence: () => undefined, recordActivity: () => undefined, reportLeaving: () => undefined, reportPause: () => undefined, release: () => {
					this.change(best.id, -1);
					this.hasChanged = true;
				},
			},
		};
	}

	override requestLoad(): void {
		// All models are loaded.
	}

	override getPauseLeftMs(): undefined {
		return undefined;
	}

	override getTimeUntilReadyMs(): undefined {
		return undefined;
	}

	private change(id: string, difference: number): void {
		this.own.set(id, (this.own.get(id) ?? 0) + difference);
	}
}

/** What callers of a kind got. */
export type Outcome = {asked: number; inTime: number; late: number; refused: number; refusedAgain: number; heldInVain: number; heldMs: number};

export type FleetOptions = {
	readonly kinds: readonly Kind[];
	readonly seconds: number;
	/** Factor on the rates of all kinds. */
	readonly getLoad: (atMs: number) => number;
	readonly hasLeader?: (atMs: number) => boolean;
};

/** What callers got by kind, the mean part of the slots that ran requests, and the sends that full engines refused. */
export type FleetResult = {readonly outcomes: Readonly<Record<string, Outcome>>; readonly used: number; readonly engineRefusals: number};

type Host = {readonly index: number; readonly slots: HostSlots; readonly queue: SlotQueue; nextPollMs: number; nextDispatchMs: number};

class Fleet {
	readonly outcomes: Record<string, Outcome> = {};
	engineRefusals = 0;
	used = 0;
	private readonly random = createRandom(7);
	private readonly engines: readonly Engine[];
	private readonly owner: ShortageOwner;
	private readonly reported = new Map<number, ReadonlyMap<string, number>>();
	private readonly hosts: readonly Host[];

	constructor(private readonly clock: ManualClock) {
		const {random} = this;
		this.engines = Array.from({length: ENGINES}, (_, i) => new Engine(`e${i}`, clock));
		this.owner = new ShortageOwner(clock);
		this.hosts = Array.from({length: HOSTS}, (_, index) => {
			const slots = new HostSlots(this.engines, clock);
			return {
				index, slots, queue: new SlotQueue(clock, slots, {random}), nextPollMs: random() * POLL_MS, nextDispatchMs: random() * DISPATCH_MS,
			};
		});
	}

	/** Starts the calls of a step. */
	arrive(kind: Kind, load: number): void {
		this.outcomes[kind.name] ??= {
			asked: 0, inTime: 0, late: 0, refused: 0, refusedAgain: 0, heldInVain: 0, heldMs: 0,
		};
		for (let expected = kind.perSecond * load * STEP_MS / 1000; this.random() < expected; expected -= 1) {
			void this.call(kind, String(Math.floor(this.random() * MODELS)));
		}
	}

	stepEngines(): void {
		for (const engine of this.engines) {
			engine.step();
			this.used += engine.running.length / (ENGINES * ENGINE_SLOTS);
		}
	}

	stepHosts(hasLeader: boolean): void {
		const nowMs = this.clock.now();
		for (const host of this.hosts) {
			if (nowMs >= host.nextPollMs) {
				host.nextPollMs += POLL_MS;
				if (hasLeader) {
					this.poll(host);
				}
			}

			if (host.slots.hasChanged || nowMs >= host.nextDispatchMs) {
				host.slots.hasChanged = false;
				host.nextDispatchMs = nowMs + DISPATCH_MS;
				host.queue.dispatch();
			}
		}
	}

	/** A caller, who returns once after a refusal. */
	private async call(kind: Kind, model: string): Promise<void> {
		const outcome = this.outcomes[kind.name]!;
		const endsMs = this.clock.now() + kind.timeoutMs;
		outcome.asked += 1;
		const retryAfterMs = await this.attempt(kind, model, endsMs, false);
		if (retryAfterMs !== undefined) {
			outcome.refused += 1;
			await this.clock.sleep(Math.min(retryAfterMs, (endsMs - this.clock.now()) / 3));
			const isRefused = await this.attempt(kind, model, endsMs, true) !== undefined;
			outcome.refusedAgain += Number(isRefused);
		}
	}

	/** Makes one attempt at any host; returns the time to return after a refusal. */
	private async attempt(kind: Kind, model: string, endsMs: number, isReturning: boolean): Promise<number | undefined> {
		const {targetLatencyMs} = kind;
		const outcome = this.outcomes[kind.name]!;
		const startedMs = this.clock.now();
		const {queue} = this.hosts[Math.floor(this.random() * HOSTS)]!;
		const limits = {
			...getWaitLimits({isStream: true, targetLatencyMs}, endsMs - startedMs), targetLatencyMs, dueMs: startedMs + targetLatencyMs, isReturning,
		};
		const acquired = await queue.acquire({
			service: 's', model, parts: [], tried: new Set(),
		}, kind.priority, limits, new AbortController().signal);
		if (acquired.isOk) {
			this.send(acquired.value, kind, startedMs);
			return undefined;
		}

		const waitedMs = this.clock.now() - startedMs;
		if (waitedMs > (targetLatencyMs / 8) + STEP_MS) {
			outcome.heldInVain += 1;
			outcome.heldMs += waitedMs;
		}

		return acquired.error.retryAfterMs ?? 0;
	}

	private send(slot: TargetSlot, kind: Kind, startedMs: number): void {
		const engine = this.engines.find(({id}) => id === slot.targetId)!;
		const isSent = engine.submit({
			kind, endMs: 0, onStart: () => {
				this.outcomes[kind.name]![this.clock.now() - startedMs <= kind.targetLatencyMs ? 'inTime' : 'late'] += 1;
				slot.recordLoad({running: engine.outstanding, waiting: 0});
			}, onEnd() {
				slot.release('answered');
			},
		});
		if (!isSent) {
			this.engineRefusals += 1;
			slot.release('failed');
		}
	}

	private poll({index, slots, queue}: Host): void {
		this.reported.set(index, new Map(slots.own));
		this.owner.report(`h${index}`, queue.createReport());
		const others = new Map<string, number>();
		for (const [host, counts] of this.reported) {
			for (const [id, count] of host === index ? [] : counts) {
				others.set(id, (others.get(id) ?? 0) + count);
			}
		}

		slots.others = others;
		slots.polledMs = this.clock.now();
		slots.hasChanged = true;
		queue.applyFigures(this.owner.getFigures());
	}
}

/** Plays callers at 70 hosts that share engines, and then the end of their calls. */
export async function playFleet({kinds, seconds, getLoad, hasLeader = () => true}: FleetOptions): Promise<FleetResult> {
	const clock = new ManualClock();
	const fleet = new Fleet(clock);
	const steps = seconds * 1000 / STEP_MS;
	let used = 0;
	for (let step = 0; step < steps + (DRAIN_MS / STEP_MS); step++) {
		const nowMs = clock.now();
		for (const kind of step < steps ? kinds : []) {
			fleet.arrive(kind, getLoad(nowMs));
		}

		fleet.stepEngines();
		used = step < steps ? fleet.used / steps : used;
		fleet.stepHosts(hasLeader(nowMs));
		clock.advance(STEP_MS);
		await nextTurn();
	}

	return {outcomes: fleet.outcomes, used, engineRefusals: fleet.engineRefusals};
}
