import {setImmediate as flush} from 'node:timers/promises';
import {
	Clock, createRandom, ManualClock, Signal, type Customer, type Random,
} from '@egretrill/common';
import {Result} from 'true-myth';
import {
	BucketOwner, getLargestExcess, encodeShareAnswer, encodeShareRequest, decodeShareAnswer, decodeShareRequest, ShareHolder, ShareTransport,
	WireShareAnswer, WireShareRequest, type ShareAnswer, type ShareRequest, type SpendEvent,
} from '../../src/index.js';

export const STEP_MS = 2;

/** Creates a customer with the given rate; its other fields do not affect admission. */
export function createCustomer(id: string, rate: Partial<Customer['rate']> = {}): Customer {
	return {
		id, weight: 1, keyLeaseMs: 4000, rate: {
			tokensPerSecond: 2000, burstTokens: 5000, requestsPerSecond: 40, burstRequests: 100, ...rate,
		},
	};
}

/** Advances the clock in small steps and lets all tasks run after each step. */
export async function advance(clock: ManualClock, ms: number): Promise<void> {
	for (let passed = 0; passed < ms; passed += STEP_MS) {
		clock.advance(STEP_MS);
		await flush();
	}
}

/** Clock of one host: it runs at its own speed, and the host's tasks stop while the host is paused or killed. */
export class HostClock extends Clock {
	isPaused = false;
	private readonly resumed = new Signal();

	constructor(private readonly base: ManualClock, private readonly speed: number) {
		super();
	}

	now(): number {
		return this.base.now() * this.speed;
	}

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		await this.base.sleep(ms / this.speed, signal);
		await this.waitWhilePaused();
	}

	async waitWhilePaused(): Promise<void> {
		while (this.isPaused) {
			await this.resumed.wait(this.base, 60_000);
		}
	}

	resume(): void {
		this.isPaused = false;
		this.resumed.notify();
	}
}

export type NetworkHazards = {maxDelayMs: number; lossRatio: number; duplicateRatio: number};

/** Transport of one host over a network that delays, loses and duplicates messages. */
export class HostTransport extends ShareTransport {
	isPartitioned = false;
	messages = 0;

	constructor(private readonly fleet: Fleet, private readonly hostClock: HostClock, private readonly random: Random) {
		super();
	}

	async exchange(_ownerId: string, req: ShareRequest, timeoutMs: number): Promise<Result<ShareAnswer, string>> {
		this.messages += 1;
		const {clock, hazards} = this.fleet;
		if (this.random() < hazards.duplicateRatio) {
			void this.deliver(req);
		}

		const sentAtMs = clock.now();
		const answer = await this.deliver(req);
		if (!answer || clock.now() - sentAtMs > timeoutMs) {
			await this.hostClock.sleep(Math.max(0, sentAtMs + timeoutMs - clock.now()));
			return Result.err('timeout');
		}

		await this.hostClock.waitWhilePaused();
		return answer;
	}

	private async deliver(req: ShareRequest): Promise<Result<ShareAnswer, string> | undefined> {
		if (await this.isDropped()) {
			return undefined;
		}

		// Both messages are encoded and decoded in their positional encoding, as between real hosts.
		const answer = this.fleet.owner.grant(decodeShareRequest(WireShareRequest.parse(encodeShareRequest(req))));
		return await this.isDropped() ? undefined : answer.map(value => decodeShareAnswer(WireShareAnswer.parse(encodeShareAnswer(value))));
	}

	private async isDropped(): Promise<boolean> {
		const {clock, hazards} = this.fleet;
		await clock.sleep(this.random() * hazards.maxDelayMs);
		return this.isPartitioned || this.random() < hazards.lossRatio;
	}
}

type FleetHost = {readonly holder: ShareHolder; readonly clock: HostClock; readonly transport: HostTransport};

/** Offered load of one customer: requests per second by host and time. */
export type Load = {readonly customer: Customer; readonly getRequestsPerSecond: (host: number, atMs: number) => number};

/** Eight hosts that share customers' buckets over a simulated network with a seed, with a record of what was spent. */
export class Fleet {
	readonly clock = new ManualClock();
	readonly hosts: readonly FleetHost[];
	readonly spending = new Map<string, Array<SpendEvent & {tokens: number}>>();
	readonly outcomes: Record<string, number> = {};
	hazards: NetworkHazards = {maxDelayMs: 4, lossRatio: 0, duplicateRatio: 0};
	owner: BucketOwner;
	private term = 0;
	private readonly random: Random;

	constructor(seed: number, private readonly customers: readonly Customer[]) {
		this.random = createRandom(seed);
		this.owner = this.createOwner(0);
		this.hosts = Array.from({length: 8}, (_, i) => {
			// The slowest and the fastest clock differ by less than the drift allowance of 1 %.
			const clock = new HostClock(this.clock, 0.996 + (0.001 * i));
			const transport = new HostTransport(this, clock, createRandom(seed + 100 + i));
			const holder = new ShareHolder({
				clock, transport, customers, random: createRandom(seed + 200 + i), hostId: `host-${i}`, startId: 'start-1', getOwnerId: () => 'leader',
			});
			return {holder, clock, transport};
		});
	}

	/** Creates an owner with the next term. */
	createOwner(startedAtMs: number): BucketOwner {
		this.term += 1;
		return new BucketOwner({
			clock: this.clock, term: this.term, startedAtMs, customers: this.customers,
		});
	}

	/** Replaces the owner. */
	replaceOwner(owner = this.createOwner(this.clock.now())): void {
		this.owner = owner;
	}

	/** Runs the load for the duration; requests arrive at random times. */
	async run(loads: readonly Load[], durationMs: number): Promise<void> {
		const endMs = this.clock.now() + durationMs;
		while (this.clock.now() < endMs) {
			const atMs = this.clock.now();
			for (const load of loads) {
				for (const [i, host] of this.hosts.entries()) {
					if (!host.clock.isPaused && this.random() < load.getRequestsPerSecond(i, atMs) * STEP_MS / 1000) {
						void this.serve(host, load.customer.id, 20 + Math.floor(this.random() * 80));
					}
				}
			}

			await advance(this.clock, STEP_MS);
			this.checkInvariant();
		}
	}

	/** Largest excess over the limit in any window, unit and customer; at most 0 if the limits are kept. */
	getExcess(): number {
		return Math.max(...this.customers.map(({id, rate}) => {
			const events = this.spending.get(id) ?? [];
			const tokens = events.map(event => ({atMs: event.atMs, amount: event.tokens}));
			return Math.max(
				getLargestExcess(tokens, {burst: rate.burstTokens, perSecond: rate.tokensPerSecond}),
				getLargestExcess(events, {burst: rate.burstRequests, perSecond: rate.requestsPerSecond}),
			);
		}));
	}

	async stop(): Promise<void> {
		for (const host of this.hosts) {
			host.clock.resume();
		}

		const stopped = Promise.all(this.hosts.map(async host => host.holder.stop()));
		await advance(this.clock, 1000);
		await stopped;
	}

	private async serve(host: FleetHost, customer: string, tokens: number): Promise<void> {
		const holdMs = this.random() < 0.1 ? 2200 * this.random() : 100 * this.random();
		const result = await host.holder.acquire({
			customer, tokens, requests: 1, deadlineMs: host.clock.now() + 3000,
		});
		let outcome = 'stale';
		if (result.isErr) {
			outcome = result.error.code;
		} else {
			// The request is sent some time after admission, and only while the reservation is valid.
			await host.clock.sleep(holdMs);
			if (result.value.start()) {
				outcome = 'admitted';
				const used = Math.ceil(tokens * (this.random() < 0.5 ? 0.4 : 1));
				this.spending.set(customer, [...this.spending.get(customer) ?? [], {atMs: this.clock.now(), amount: 1, tokens: used}]);
				await host.clock.sleep(holdMs);
				result.value.settle(used);
			} else {
				result.value.cancel();
			}
		}

		this.outcomes[`${customer} ${outcome}`] = (this.outcomes[`${customer} ${outcome}`] ?? 0) + 1;
	}

	private checkInvariant(): void {
		for (const {customer, level, outstanding} of this.owner.getStatus()) {
			const {rate} = (this.customers.find(({id}) => id === customer)!);
			if (level.tokens + outstanding.tokens > rate.burstTokens + 1e-6 || level.requests + outstanding.requests > rate.burstRequests + 1e-6) {
				throw new Error(`Level and outstanding of ${customer} exceed the burst.`);
			}
		}
	}
}
