import {createRandom, ManualClock, type TrafficCustomer} from '@egretrill/common';
import {expect} from 'chai';
import {
	RATE_HOST_TTL_MS, RATE_LEASE_MS, RateOwner, RateAllocations,
} from '../../src/forward/index.js';

const SYNC_MS = 200;
const WINDOW_MS = 8000;

function createCustomer(ratePerSecond: number): TrafficCustomer {
	return {
		name: 'c', keys: [], unit: 'tokens', plainTokens: 0, ratePerSecond, burst: ratePerSecond,
	};
}

/** A clock that counts its reads. */
class CountingClock extends ManualClock {
	reads = 0;

	override now(): number {
		this.reads += 1;
		return super.now();
	}
}

type Host = {
	readonly id: string; readonly allocations: RateAllocations; serial: number; standing: number; leased: number; isPartitioned: boolean; asked: number; granted: number;
};

/** Hosts that divide one customer's rate, each with callers that send requests at a constant rate. */
class RateFleet {
	readonly clock = new ManualClock();
	readonly hosts: readonly Host[];
	readonly spent: Array<{readonly atMs: number; readonly cost: number}> = [];
	requestCount = 0;
	recorded: readonly string[] = [];
	owner: RateOwner;
	/** Whether the owner answers loans too late; it takes them from the pool all the same. */
	isOwnerLate = false;
	/** Whether the owner answers nothing. */
	isOwnerLost = false;
	/** Part of the granted requests that find no target, whose cost is given back. */
	unsentRatio = 0;
	private unspent = 0;
	private readonly random = createRandom(7);
	private readonly limit: TrafficCustomer;

	constructor(count: number, ratePerSecond: number, private readonly syncMs = SYNC_MS) {
		this.limit = createCustomer(ratePerSecond);
		this.owner = this.createOwner();
		this.recorded = Array.from({length: count}, (_, i) => `h${i}`);
		this.hosts = Array.from({length: count}, (_, i) => {
			const allocations = new RateAllocations(this.clock);
			allocations.setCustomers([this.limit]);
			return {
				id: `h${i}`, allocations, serial: 0, standing: 0, leased: 0, isPartitioned: false, asked: 0, granted: 0,
			};
		});
	}

	createOwner(): RateOwner {
		return new RateOwner(this.clock, () => new Map([['c', this.limit]]), () => this.recorded);
	}

	/** Simulates a period in which each host's callers send `getPerSecond` requests per second, each of the given cost. */
	simulate(ms: number, cost: number, getPerSecond: (host: Host, index: number) => number): void {
		for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) {
			this.clock.advance(10);
			for (const [i, host] of this.hosts.entries()) {
				if (!host.isPartitioned && !this.isOwnerLost && Math.floor(this.clock.now() / this.syncMs) !== Math.floor((this.clock.now() - 10) / this.syncMs)) {
					this.sync(host);
				}

				// The callers of different hosts send at different times.
				const nowMs = this.clock.now() + (i * 1000);
				const before = Math.floor((nowMs - 10) * getPerSecond(host, i) / 1000);
				const after = Math.floor(nowMs * getPerSecond(host, i) / 1000);
				for (let k = before; k < after; k++) {
					this.send(host, cost);
				}
			}
		}
	}

	/** The largest spending in any window, relative to what rate and burst allow. */
	getLargestWindowRatio(): number {
		const allowed = (this.limit.ratePerSecond * WINDOW_MS / 1000) + this.limit.burst;
		let largest = 0;
		for (const {atMs} of this.spent) {
			let sum = 0;
			for (const other of this.spent) {
				sum += other.atMs >= atMs && other.atMs < atMs + WINDOW_MS ? other.cost : 0;
			}

			largest = Math.max(largest, sum);
		}

		return largest / allowed;
	}

	/** The part of the requests that hosts have granted, of those that match. */
	getGrantedRatio(matches: (host: Host) => boolean): number {
		const matching = this.hosts.filter(host => matches(host));
		return matching.reduce((sum, {granted}) => sum + granted, 0) / Math.max(1, matching.reduce((sum, {asked}) => sum + asked, 0));
	}

	/** Forgets what was asked and granted, but not what was spent. */
	restartCounts(): void {
		for (const host of this.hosts) {
			host.asked = 0;
			host.granted = 0;
		}
	}

	private sync(host: Host): void {
		const sentMs = this.clock.now();
		this.owner.giveBack(this.unspent > 0 ? [['c', this.unspent]] : []);
		this.unspent = 0;
		const grant = this.owner.request({
			hostId: host.id, startId: 's', ackedSerial: host.serial, standing: host.standing, demand: host.allocations.getDemand(),
		});
		host.serial = grant.serial;
		host.standing = grant.standing;
		host.leased = new Map(grant.leased).get('c') ?? 0;
		host.allocations.setAllocation('c', {
			standing: grant.standing, leased: host.leased, leaseEndsMs: sentMs + RATE_LEASE_MS,
		});
	}

	private send(host: Host, cost: number): void {
		this.requestCount += 1;
		host.asked += 1;
		const allocated = host.allocations.spend('c', cost);
		const taken = allocated.isGranted || host.isPartitioned || this.isOwnerLost ? undefined : this.owner.borrow('c', cost);
		const borrowed = this.isOwnerLate ? undefined : taken;
		if (!(allocated.isGranted || (borrowed ?? host.allocations.overdraw('c', cost)).isGranted)) {
			return;
		}

		host.granted += 1;
		if (this.random() < this.unsentRatio) {
			this.giveBack(host, cost, borrowed?.isGranted ?? false);
		} else {
			this.spent.push({atMs: this.clock.now(), cost});
		}
	}

	private giveBack(host: Host, cost: number, isBorrowed: boolean): void {
		if (isBorrowed) {
			this.unspent += cost;
		} else {
			host.allocations.refund('c', cost);
		}
	}
}

/** Numbers of hosts, with the time between two polls of each. */
const SIZES = [[6, 100], [18, 100], [71, 300], [195, 500]] as const;
const RATE = 60_000;
const COST = 1000;

/** Demand of all hosts for a customer, as a multiple of its rate. */
function getPerSecond(hosts: number, demand: number, isSkewed: boolean): (host: Host, index: number) => number {
	const total = demand * RATE / COST;
	const busy = Math.ceil(hosts / 10);
	// With skewed demand a tenth of the hosts get half of the requests.
	return (_host, i) => isSkewed ? (i < busy ? 0.5 * total / busy : 0.5 * total / (hosts - busy)) : total / hosts;
}

describe('rates at any number of hosts', () => {
	for (const [hosts, syncMs] of SIZES) {
		for (const isSkewed of [false, true]) {
			// Guards against refusals below the limit because parts of the rate lie at hosts that cannot spend them.
			it(`grant a customer what it asks for up to its limit: ${hosts} hosts, ${isSkewed ? 'skewed' : 'even'}`, () => {
				const refused: Record<string, number> = {};
				for (const demand of [0.7, 0.95]) {
					const fleet = new RateFleet(hosts, RATE, syncMs);
					fleet.simulate(4000, COST, () => 0);
					fleet.simulate(1000, COST, getPerSecond(hosts, demand, isSkewed));
					fleet.restartCounts();
					fleet.simulate(12_000, COST, getPerSecond(hosts, demand, isSkewed));
					refused[String(demand)] = 1 - fleet.getGrantedRatio(() => true);
				}

				expect(refused).to.deep.equal({0.7: 0, 0.95: 0});
			});

			// Guards against a customer that gets less than its limit while it asks for more, and against one that gets more.
			it(`grant a customer its limit that asks for three times as much: ${hosts} hosts, ${isSkewed ? 'skewed' : 'even'}`, () => {
				const fleet = new RateFleet(hosts, RATE, syncMs);
				fleet.simulate(4000, COST, () => 0);
				fleet.simulate(20_000, COST, getPerSecond(hosts, 3, isSkewed));
				const spentLater = fleet.spent.filter(({atMs}) => atMs > 9000).reduce((sum, {cost}) => sum + cost, 0) / 15;
				expect(spentLater / RATE).to.be.within(0.97, 1.01);
				expect(fleet.getLargestWindowRatio()).to.be.at.most(1.01);
			});
		}

		// Guards against a zone that gets nothing while it is cut off, and against spending beyond the limit then and when the owner changes.
		it(`serve most of the usual demand of hosts that are cut off: ${hosts} hosts`, () => {
			const fleet = new RateFleet(hosts, RATE, syncMs);
			const usual = getPerSecond(hosts, 0.56, false);
			fleet.simulate(6000, COST, usual);
			for (const host of fleet.hosts.slice(0, Math.ceil(hosts / 5))) {
				host.isPartitioned = true;
			}

			fleet.restartCounts();
			fleet.simulate(12_000, COST, usual);
			const cutOff = fleet.getGrantedRatio(host => host.isPartitioned);
			const inTouch = fleet.getGrantedRatio(host => !host.isPartitioned);
			fleet.owner = fleet.createOwner();
			fleet.simulate(8000, COST, getPerSecond(hosts, 3, false));
			expect(cutOff).to.be.at.least(0.55);
			expect(inTouch).to.equal(1);
			expect(fleet.getLargestWindowRatio()).to.be.at.most(1.01);
		});
	}
});

describe('rates beside an owner that answers late or not at all', () => {
	const HOSTS = 195;
	const POLL_MS = 500;
	const OUTAGE_MS = 2500;

	const LARGEST = {hosts: HOSTS, syncMs: POLL_MS};

	function play(demand: number, how: 'late' | 'lost', {hosts, syncMs} = LARGEST): {readonly granted: number; readonly largestWindow: number} {
		const fleet = new RateFleet(hosts, RATE, syncMs);
		fleet.simulate(8000, COST, getPerSecond(hosts, 0.56, false));
		fleet.restartCounts();
		fleet.isOwnerLate = how === 'late';
		fleet.isOwnerLost = how === 'lost';
		fleet.simulate(OUTAGE_MS, COST, getPerSecond(hosts, demand, false));
		const granted = fleet.getGrantedRatio(() => true);
		fleet.isOwnerLate = false;
		fleet.isOwnerLost = false;
		fleet.owner = how === 'lost' ? fleet.createOwner() : fleet.owner;
		fleet.simulate(8000, COST, getPerSecond(hosts, demand, false));
		return {granted, largestWindow: fleet.getLargestWindowRatio()};
	}

	// Guards against hosts that together grant more than a limit allows when all of them get requests at once.
	it('keeps to the limit when demand rises to a multiple', () => {
		for (const [hosts, syncMs] of SIZES) {
			for (const usual of [0.3, 0.56, 0.7, 0.9]) {
				const fleet = new RateFleet(hosts, RATE, syncMs);
				fleet.simulate(9000, COST, getPerSecond(hosts, usual, false));
				fleet.simulate(9000, COST, getPerSecond(hosts, 7, false));
				expect(fleet.getLargestWindowRatio(), `${hosts} hosts, ${usual}`).to.be.at.most(1.01);
			}
		}
	});

	// Guards against refusals of customers far below their limits while a busy owner answers each loan too late.
	it('grant the usual demand while the owner is late', () => {
		for (const [hosts, syncMs] of SIZES) {
			const {granted, largestWindow} = play(0.56, 'late', {hosts, syncMs});
			expect(granted, String(hosts)).to.equal(1);
			expect(largestWindow, String(hosts)).to.be.at.most(1);
		}
	});

	// Guards against spending far beyond the limit when a customer becomes busy at the moment at which the owner is lost.
	it('keep to the limit when demand rises as the owner is lost', () => {
		for (const how of ['late', 'lost'] as const) {
			const {largestWindow} = play(3.3, how);
			expect(largestWindow, how).to.be.at.most(1.01);
		}
	});

	// Guards against a customer without any demand yet that is refused because the owner is lost or has just begun, and against a time to return without end.
	it('serve a first request when the owner is lost, and name a time to return when it has begun', () => {
		const fleet = new RateFleet(6, RATE, 100);
		fleet.simulate(4000, COST, () => 0);
		fleet.isOwnerLost = true;
		fleet.simulate(200, COST, () => 5);
		expect(fleet.getGrantedRatio(() => true)).to.equal(1);
		expect(fleet.createOwner().borrow('c', COST).retryAfterMs).to.be.at.most(4000);
	});

	// Guards against a customer that gets nothing for the first seconds without an owner.
	it('serve a part of the usual demand at once when the owner is lost', () => {
		const {granted} = play(0.56, 'lost');
		expect(granted).to.be.at.least(0.5);
	});
});

describe('rates', () => {
	// Guards against refusals within the rate of a customer whose part at one host is smaller than a single request.
	it('serves a small customer whose few requests arrive at many hosts', () => {
		const fleet = new RateFleet(8, 1900);
		fleet.simulate(5000, 1000, () => 0);
		fleet.simulate(30_000, 1000, () => 0.125);
		expect({asked: fleet.requestCount, granted: fleet.spent.length}).toMatchSnapshot();
	});

	// Guards against a small customer that gets only the borrowed part of its rate when it uses all of it.
	it('grants a small customer nearly its whole rate', () => {
		const fleet = new RateFleet(8, 4000);
		fleet.simulate(5000, 1000, () => 0);
		fleet.spent.length = 0;
		fleet.simulate(30_000, 1000, () => 0.7);
		const granted = fleet.spent.reduce((sum, {cost}) => sum + cost, 0) / 30 / 4000;
		expect(granted).to.be.within(0.85, 1.1);
		expect(fleet.getLargestWindowRatio()).to.be.at.most(1.1);
	});

	// Guards against a division of the rate in equal parts, which refuses requests of a large customer that arrive mostly at one host.
	it('serves a large customer within its rate when one host gets most requests', () => {
		const fleet = new RateFleet(8, 60_000);
		fleet.simulate(5000, 1000, () => 0);
		fleet.simulate(20_000, 1000, (_host, i) => i === 0 ? 30 : 1);
		expect({asked: fleet.requestCount, refused: fleet.requestCount - fleet.spent.length}).toMatchSnapshot();
	});

	// Guards against seconds of refusals after each change of the owner, although every host that held a lease has received an answer of the new one.
	it('grants leases at once when all recorded hosts have replaced the leases of an earlier owner', () => {
		const play = (partitioned: number): number => {
			const fleet = new RateFleet(6, 20_000);
			fleet.simulate(6000, 500, () => 6);
			for (const host of fleet.hosts.slice(0, partitioned)) {
				host.isPartitioned = true;
			}

			fleet.owner = fleet.createOwner();
			fleet.simulate(1000, 500, () => 6);
			return fleet.hosts.filter((host, i) => i >= partitioned && host.leased > 0).length;
		};

		expect({allHeard: play(0), oneSilent: play(1)}).toMatchSnapshot();
	});

	// Guards against a lease that the next owner does not know about.
	it('grants no lease to a host that is not recorded in the log', () => {
		const fleet = new RateFleet(6, 20_000);
		fleet.recorded = ['h0', 'h1'];
		fleet.simulate(6000, 500, () => 6);
		expect(fleet.hosts.map(({leased}) => leased > 0)).toMatchSnapshot();
	});

	// Guards against spending more than rate and burst allow in any window, including while hosts are cut off and the owner changes.
	it('keeps to the rate in every window across partitions and a new owner', () => {
		const fleet = new RateFleet(6, 20_000);
		fleet.simulate(6000, 500, () => 40);
		fleet.hosts[0]!.isPartitioned = true;
		fleet.hosts[1]!.isPartitioned = true;
		fleet.simulate(6000, 500, () => 40);
		fleet.owner = fleet.createOwner();
		fleet.simulate(6000, 500, () => 40);
		fleet.hosts[0]!.isPartitioned = false;
		fleet.hosts[1]!.isPartitioned = false;
		fleet.simulate(6000, 500, () => 40);
		expect(fleet.getLargestWindowRatio()).to.be.at.most(1.1);
		expect(fleet.getLargestWindowRatio()).to.be.at.least(0.6);
	});

	// Guards against the first hosts that poll a new owner and take the parts of all others, also of cold targets, since their number is the divisor.
	it('counts the hosts in the log that a new owner has not heard yet', () => {
		const fleet = new RateFleet(4, 20_000);
		const request = (hostId: string): readonly number[] => {
			const {hostCount, standing} = fleet.owner.request({
				hostId, startId: 's', ackedSerial: 0, standing: 0, demand: [],
			});
			return [hostCount, standing];
		};

		const first = ['h0', 'h1', 'new'].map(id => request(id));
		fleet.clock.advance(RATE_HOST_TTL_MS + 1);
		expect({first, later: request('h0')}).toMatchSnapshot();
	});

	// Guards against a leader that is blocked for seconds because each request of a host makes it iterate over all hosts for each customer.
	it('divides rates without iterating over all hosts for each request', () => {
		const count = (hosts: number): {readonly timesAsked: number; readonly demandsRead: number} => {
			const clock = new CountingClock();
			const customers = new Map(Array.from({length: 12}, (_, i) => [`c${i}`, {...createCustomer(60_000), name: `c${i}`}]));
			const ids = Array.from({length: hosts}, (_, i) => `h${i}`);
			const owner = new RateOwner(clock, () => customers, () => ids);
			let demandsRead = 0;
			const sendRequest = (hostId: string, ackedSerial: number): number => owner.request({
				hostId, startId: 's', ackedSerial, standing: 0, demand: [...customers.keys()].map(name => ({
					name,
					meanCost: 10,
					get perSecond() {
						demandsRead += 1;
						return 5;
					},
				})),
			}).serial;
			const serials = new Map<string, number>();
			for (let round = 0; round < 30; round++) {
				clock.advance(SYNC_MS);
				for (const id of ids) {
					serials.set(id, sendRequest(id, serials.get(id) ?? 0));
				}
			}

			clock.reads = 0;
			demandsRead = 0;
			sendRequest('h0', serials.get('h0') ?? 0);
			return {timesAsked: clock.reads, demandsRead};
		};

		expect({of8: count(8), of80: count(80)}).toMatchSnapshot();
	});
});

describe('rates of requests that find no target', () => {
	// Guards against a shortage of targets that uses up the customers' rates: what was borrowed for refused requests was lost, so that others were refused below the limit.
	it('are given back to the pool, so that others get the whole limit and no more', () => {
		const fleet = new RateFleet(6, RATE, 100);
		fleet.unsentRatio = 0.5;
		const perSecond = 2.2 * RATE / COST / 6;
		fleet.simulate(30_000, COST, () => perSecond);
		const runPerSecond = fleet.spent.filter(({atMs}) => atMs >= 10_000).length * COST / 20;
		expect({servesLimit: runPerSecond >= 0.97 * RATE, keepsLimit: fleet.getLargestWindowRatio() <= 1.01}).toMatchSnapshot();
	});
});
