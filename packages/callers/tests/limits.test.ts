import {expect} from 'chai';
import {getLargestExcess} from '../src/index.js';
import {createCustomer, Fleet, type Load} from './support/share-fleet.js';

const SEED = 20_260_704;
const atlas = createCustomer('atlas');
const repere = createCustomer('repere', {
	tokensPerSecond: 6000, burstTokens: 12_000, requestsPerSecond: 100, burstRequests: 200,
});
const crue = createCustomer('crue', {
	tokensPerSecond: 500, burstTokens: 300, requestsPerSecond: 10, burstRequests: 3,
});

/** `crue` sends 90 % of its requests to one host, which changes every 3 s; `repere` is spread evenly; `atlas` sends ten times its rate. */
const loads: readonly Load[] = [
	{customer: atlas, getRequestsPerSecond: () => 50},
	{customer: repere, getRequestsPerSecond: () => 8},
	{customer: crue, getRequestsPerSecond: (host, atMs) => host === Math.floor(atMs / 3000) % 8 ? 5.4 : 0.09},
];

type Hazard = {readonly title: string; readonly apply?: (fleet: Fleet) => void; readonly revert?: (fleet: Fleet) => void};

const hazards: readonly Hazard[] = [
	{title: 'skewed and shifting traffic with one customer at ten times its rate'},
	{
		title: 'messages delayed, lost and duplicated', apply(fleet) {
			fleet.hazards = {maxDelayMs: 300, lossRatio: 0.1, duplicateRatio: 0.2};
		},
	},
	{
		title: 'a host killed while it holds shares', apply(fleet) {
			fleet.hosts[0]!.clock.isPaused = true;
		},
	},
	{
		title: 'hosts paused for 10 s that resume with old reservations', apply(fleet) {
			for (const host of fleet.hosts.slice(0, 3)) {
				host.clock.isPaused = true;
			}
		}, revert(fleet) {
			for (const host of fleet.hosts) {
				host.clock.resume();
			}
		},
	},
	{
		title: 'hosts partitioned from the owner', apply(fleet) {
			for (const host of fleet.hosts.slice(0, 3)) {
				host.transport.isPartitioned = true;
			}
		}, revert(fleet) {
			for (const host of fleet.hosts) {
				host.transport.isPartitioned = false;
			}
		},
	},
	{
		title: 'the owner replaced twice while messages are delayed', apply(fleet) {
			fleet.hazards = {maxDelayMs: 100, lossRatio: 0.05, duplicateRatio: 0.1};
			fleet.replaceOwner();
		}, revert(fleet) {
			fleet.replaceOwner();
		},
	},
];

async function runFleet(hazard: Hazard): Promise<Fleet> {
	const fleet = new Fleet(SEED, [atlas, repere, crue]);
	await fleet.run(loads, 6000);
	hazard.apply?.(fleet);
	await fleet.run(loads, 10_000);
	hazard.revert?.(fleet);
	await fleet.run(loads, 4000);
	await fleet.stop();
	return fleet;
}

describe(`customer rates over eight hosts, seed ${SEED}`, () => {
	for (const hazard of hazards) {
		it(`never exceed burst + rate * t in any window: ${hazard.title}`, async () => {
			const fleet = await runFleet(hazard);
			expect(fleet.getExcess()).to.be.at.most(1e-6);
			expect({outcomes: fleet.outcomes, messages: fleet.hosts.map(host => host.transport.messages)}).toMatchSnapshot();
		});
	}

	it('are reported as exceeded when a faulty successor starts with a full level', async () => {
		const fleet = new Fleet(SEED, [atlas]);
		// Both accrue tokens from the start instead of waiting after their takeover.
		const successors = [fleet.createOwner(-10_000), fleet.createOwner(-10_000)];
		for (const successor of successors) {
			await fleet.run(loads.slice(0, 1), 4000);
			fleet.replaceOwner(successor);
		}

		await fleet.run(loads.slice(0, 1), 4000);
		await fleet.stop();
		expect(fleet.getExcess()).to.be.greaterThan(0);
	});

	it('are checked over windows that start and end at any event, not only at fixed steps', () => {
		const limit = {burst: 10, perSecond: 10};
		expect(getLargestExcess([{atMs: 0, amount: 5}, {atMs: 950, amount: 9}, {atMs: 1050, amount: 3}], limit)).to.be.closeTo(1, 1e-9);
		expect(getLargestExcess([{atMs: 0, amount: 10}, {atMs: 1000, amount: 10}], limit)).to.be.closeTo(0, 1e-9);
	});
});
