import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {
	BucketOwner, type CustomerExchange, type ShareAnswer,
} from '../src/index.js';
import {createCustomer} from './support/share-fleet.js';

const atlas = createCustomer('atlas', {
	tokensPerSecond: 1000, burstTokens: 1000, requestsPerSecond: 10, burstRequests: 10,
});
const GRANT_LIFETIME_MS = 2020;

/** An owner with a full level after its takeover wait, and a log of its answers. */
class OwnerRun {
	readonly clock = new ManualClock();
	readonly owner: BucketOwner;
	readonly log: unknown[] = [];
	isLeading = true;

	constructor() {
		this.owner = new BucketOwner({
			clock: this.clock, term: 1, startedAtMs: 0, customers: [atlas], isCurrent: () => this.isLeading,
		});
		this.clock.advance(GRANT_LIFETIME_MS + 1000);
	}

	exchange(hostId: string, serial: number, entry: Omit<CustomerExchange, 'customer'> = {}, startId = 'start-1'): ShareAnswer['grants'][number] | undefined {
		const answer = this.owner.grant({
			hostId, startId, ownerTerm: 1, serial, customers: [{customer: 'atlas', ...entry}],
		});
		const [grant] = answer.isOk ? answer.value.grants : [];
		const [status] = this.owner.getStatus();
		this.log.push({
			atMs: this.clock.now(), hostId, serial, entry, grant: answer.isOk ? grant : answer.error, level: status?.level, outstanding: status?.outstanding,
		});
		return grant;
	}

	getOutstandingTokens(): number | undefined {
		return this.owner.getStatus()[0]?.outstanding.tokens;
	}
}

const createWanted = (tokens: number): Omit<CustomerExchange, 'customer'> => ({wanted: {tokens, requests: 1}});
const createWaiting = (tokens: number, waitedMs: number): Omit<CustomerExchange, 'customer'> => ({waiting: {total: {tokens, requests: 1}, head: {tokens, requests: 1}, waitedMs}});

describe('bucket owner', () => {
	it('neither grants nor settles twice for a repeated or delayed exchange', () => {
		const run = new OwnerRun();
		const grant = run.exchange('host-0', 1, createWanted(400));
		run.exchange('host-0', 1, createWanted(400));
		const reports = [{serial: grant!.serial, settled: {tokens: 100, requests: 1}, returned: {tokens: 200, requests: 0}}];
		run.exchange('host-0', 2, {reports});
		run.exchange('host-0', 2, {reports});
		run.exchange('host-0', 1, {...createWanted(400), reports: [{serial: grant!.serial, settled: {tokens: 0, requests: 0}}]});
		expect(run.log).toMatchSnapshot();
	});

	it('ignores a refund after expiry and accrues tokens only from the expiry on', () => {
		const run = new OwnerRun();
		const grant = run.exchange('host-0', 1, createWanted(1000));
		run.clock.advance(GRANT_LIFETIME_MS - 1);
		run.exchange('host-0', 2);
		run.clock.advance(101);
		run.exchange('host-0', 3, {reports: [{serial: grant!.serial, settled: {tokens: 0, requests: 0}, returned: {tokens: 1000, requests: 1}}]});
		expect(run.log).toMatchSnapshot();
	});

	it('grants the oldest waiting request completely when tokens are short, so that partial grants on several hosts cannot block each other', () => {
		const run = new OwnerRun();
		run.exchange('host-0', 1, createWanted(700));
		run.exchange('host-1', 1, createWaiting(800, 50));
		run.exchange('host-2', 1, createWaiting(200, 10));
		run.exchange('host-0', 2, {reports: [{serial: 1, settled: {tokens: 0, requests: 0}, returned: {tokens: 700, requests: 1}}]});
		run.exchange('host-2', 2, createWaiting(200, 20));
		run.exchange('host-1', 2, createWaiting(800, 60));
		expect(run.log).toMatchSnapshot();
	});

	it('keeps level + outstanding within a raised or lowered burst, and allows no second burst for a customer that is added again', () => {
		const run = new OwnerRun();
		run.exchange('host-0', 1, createWanted(600));
		run.owner.setCustomers([createCustomer('atlas', {...atlas.rate, burstTokens: 500})]);
		run.exchange('host-0', 2, createWanted(300));
		run.owner.setCustomers([]);
		run.exchange('host-0', 3, createWanted(300));
		run.owner.setCustomers([createCustomer('atlas', {...atlas.rate, burstTokens: 2000})]);
		run.exchange('host-0', 4, createWanted(300));
		run.clock.advance(100);
		run.exchange('host-0', 5, createWanted(50));
		expect(run.log).toMatchSnapshot();
	});

	it('grants nothing during the wait after takeover, and starts at level 0 after it', () => {
		const run = new OwnerRun();
		const successor = new BucketOwner({
			clock: run.clock, term: 2, startedAtMs: run.clock.now(), customers: [atlas],
		});
		const steps = [0, GRANT_LIFETIME_MS, 100].map((ms, serial) => {
			run.clock.advance(ms);
			return successor.grant({
				hostId: 'host-0', startId: 'start-1', ownerTerm: 1, serial: serial + 1, customers: [{customer: 'atlas', ...createWanted(100)}],
			}).unwrapOr(undefined);
		});
		expect(steps).toMatchSnapshot();
	});

	it('ignores reports on grants of its predecessor, whose serials it reuses', () => {
		const run = new OwnerRun();
		const grant = run.exchange('host-0', 1, createWanted(400));
		run.owner.grant({
			hostId: 'host-1', startId: 'start-1', ownerTerm: 0, serial: 1, customers: [{customer: 'atlas', reports: [{serial: grant!.serial, settled: {tokens: 400, requests: 1}}]}],
		});
		expect(run.getOutstandingTokens()).to.equal(400);
	});

	it('grants nothing without its lease', () => {
		const run = new OwnerRun();
		run.isLeading = false;
		run.exchange('host-0', 1, createWanted(100));
		expect(run.log).toMatchSnapshot();
		expect(run.getOutstandingTokens()).to.equal(0);
	});

	it('treats a restarted host as a new one, whose serials restart', () => {
		const run = new OwnerRun();
		run.exchange('host-0', 1, createWanted(100));
		run.exchange('host-0', 1, createWanted(100), 'start-2');
		expect(run.getOutstandingTokens()).to.equal(200);
	});
});
