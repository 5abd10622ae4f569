import {expect} from 'chai';
import {type Reservation} from '../src/index.js';
import {advance, createCustomer, Fleet} from './support/share-fleet.js';

const SEED = 5;
const atlas = createCustomer('atlas', {
	tokensPerSecond: 100, burstTokens: 300, requestsPerSecond: 10, burstRequests: 30,
});

/** A fleet whose owner has a full level; the outcomes at its first host are logged. */
async function createScenario() {
	const fleet = new Fleet(SEED, [atlas, createCustomer('idle')]);
	await advance(fleet.clock, 6000);
	const {holder, clock, transport} = fleet.hosts[0]!;
	const log: unknown[] = [];
	const acquire = async (tokens: number, deadlineMs: number, signal?: AbortSignal): Promise<Reservation | undefined> => {
		const result = await holder.acquire({
			customer: 'atlas', tokens, requests: 1, deadlineMs: clock.now() + deadlineMs, signal,
		});
		log.push({tokens, atMs: Math.round(fleet.clock.now()), result: result.isOk ? 'reserved' : result.error});
		return result.isOk ? result.value : undefined;
	};

	const acquireAndSettle = async (tokens: number, usedTokens: number): Promise<void> => {
		const reservation = await acquire(tokens, 1000);
		reservation?.settle(usedTokens);
	};

	return {
		fleet, acquire, acquireAndSettle, log, transport,
	};
}

describe(`share holder, seed ${SEED}`, () => {
	it('waits for the next grant in order of arrival, and refuses at the deadline with the actual reason', async () => {
		const {fleet, acquire, acquireAndSettle, log, transport} = await createScenario();
		void acquire(301, 1000);
		void acquireAndSettle(250, 250);
		void acquire(200, 4000);
		void acquire(10, 4000);
		void acquire(290, 500);
		await advance(fleet.clock, 4500);
		transport.isPartitioned = true;
		void acquire(290, 3000);
		await advance(fleet.clock, 3500);
		fleet.replaceOwner();
		transport.isPartitioned = false;
		void acquire(290, 1500);
		await advance(fleet.clock, 2000);
		await fleet.stop();
		expect(log).toMatchSnapshot();
	});

	// Guards against refusing a customer that is already part of the configuration in force.
	it('serves a customer whose request arrives before the holder receives the configuration', async () => {
		const {fleet, acquire, log} = await createScenario();
		const {holder} = fleet.hosts[0]!;
		holder.setCustomers([]);
		await acquire(10, 500);
		holder.addCustomer(atlas);
		void acquire(10, 500);
		await advance(fleet.clock, 500);
		await fleet.stop();
		expect(log).toMatchSnapshot();
	});

	it('sends nothing for idle customers once it has returned what it held', async () => {
		const {fleet, acquireAndSettle, transport} = await createScenario();
		expect(transport.messages).to.equal(0);
		void acquireAndSettle(50, 10);
		await advance(fleet.clock, 3000);
		const {messages} = transport;
		await advance(fleet.clock, 10_000);
		expect(transport.messages).to.equal(messages);
		expect(fleet.owner.getStatus()[0]).to.deep.equal({customer: 'atlas', level: {tokens: 300, requests: 30}, outstanding: {tokens: 0, requests: 0}});
		await fleet.stop();
	});

	it('reserves nothing for a cancelled request, and returns everything reserved for one that was not run', async () => {
		const {fleet, acquire, log} = await createScenario();
		const reservation = acquire(300, 1000);
		const cancel = new AbortController();
		await advance(fleet.clock, 20);
		void acquire(100, 1000, cancel.signal);
		cancel.abort();
		await advance(fleet.clock, 20);
		(await reservation)!.cancel();
		void acquire(300, 10);
		await advance(fleet.clock, 20);
		expect((await reservation)!.isValid()).to.be.false;
		await fleet.stop();
		expect(log).toMatchSnapshot();
	});

	it('keeps a customer at its rate when its running requests hold more than its burst', async () => {
		const slow = createCustomer('slow', {tokensPerSecond: 100, burstTokens: 100});
		const fleet = new Fleet(SEED, [slow]);
		await advance(fleet.clock, 6000);
		const {holder, clock} = fleet.hosts[0]!;
		let started = 0;
		const runLongRequest = async (): Promise<void> => {
			const result = await holder.acquire({
				customer: 'slow', tokens: 50, requests: 1, deadlineMs: clock.now() + 10_000,
			});
			started += result.isOk && result.value.start() ? 1 : 0;
		};

		for (let i = 0; i < 10; i++) {
			void runLongRequest();
		}

		// The 400 tokens beyond the burst accrue in 4 s; one more second covers the exchanges.
		await advance(fleet.clock, 5000);
		expect(started).to.equal(10);
		await fleet.stop();
	});

	it('does not start a reservation after its lifetime, since its owner counts it as spent', async () => {
		const {fleet, acquire} = await createScenario();
		const reservation = acquire(100, 1000);
		await advance(fleet.clock, 1900);
		expect((await reservation)!.isValid()).to.be.true;
		await advance(fleet.clock, 110);
		expect((await reservation)!.start()).to.be.false;
		await fleet.stop();
	});
});
