import {ManualClock, type Registration} from '@egretrill/common';
import {TargetRegistry} from '@egretrill/engines';
import type {Method, PeerCallError} from '@egretrill/hosts';
import {expect} from 'chai';
import {Result} from 'true-myth';
import {type Departure, Departures} from '../../src/traffic/index.js';

const HOST_IDS = ['c0', 'c1', 'c2'];
/** Time after an acknowledged deregistration during which requests may still be sent. */
const MAX_SENDING_MS = 2000;
/** Longer than a registration counts. */
const SUSPENSION_MS = 8000;

const target: Registration = {
	targetId: 't1', startedAtMs: 1000, sequence: 1, service: 's', address: '127.0.0.1:9000', zone: 'z', slots: 8, isLeaving: false, coldForMs: 0, models: [], inMemory: [], onDisk: [],
};

/** Control hosts that call each other, without the exchange of registrations. */
class ControlFixture {
	readonly clock = new ManualClock();
	readonly registries = new Map(HOST_IDS.map(id => [id, new TargetRegistry(this.clock, id)]));
	/** Hosts that answer no calls. */
	readonly silentIds = new Set<string>();
	/** Departures that the log was told. */
	readonly recorded: Departure[] = [];
	private readonly departures = new Map<string, Departures>();

	constructor() {
		for (const [id, registry] of this.registries) {
			const getOthers = (): ReadonlyArray<{readonly id: string}> => HOST_IDS.filter(other => other !== id).map(other => ({id: other}));
			const call = async <Req, Res>(hostId: string, _method: Method<Req, Res>, req: Req, deadlineMs = 0): Promise<Result<Res, PeerCallError>> => {
				await this.clock.sleep(this.silentIds.has(hostId) ? deadlineMs : 1);
				return this.silentIds.has(hostId) ? Result.err({code: 'timeout', message: 'no answer'}) : Result.ok(this.handle(hostId, req as Departure) as Res);
			};

			const record = async (targetId: string, startedAtMs: number): Promise<void> => {
				this.recorded.push({targetId, startedAtMs});
			};

			this.departures.set(id, new Departures({peers: {call, getOthers}, registry, departureLog: {record}}));
		}
	}

	register(registration: Registration, ...ids: readonly string[]): void {
		for (const id of ids) {
			this.registries.get(id)?.accept(registration);
		}
	}

	handle(hostId: string, departure: Departure): unknown {
		return this.departures.get(hostId)?.handle(departure);
	}

	/** Deregisters the target at a host; returns whether the answer comes within a time. */
	async deregister(id: string, withinMs: number, callerGone = new AbortController().signal): Promise<boolean> {
		let isAnswered = false;
		const announce = async (): Promise<void> => {
			await this.departures.get(id)?.announce('t1', callerGone);
			isAnswered = true;
		};

		void announce();
		await this.clock.run(withinMs);
		return isAnswered;
	}

	/** Hosts that let requests be sent to the target. */
	listUsing(): readonly string[] {
		return HOST_IDS.filter(id => this.registries.get(id)?.get('t1'));
	}
}

describe('departures of targets', () => {
	// Guards against an acknowledged deregistration that only a host knows which is killed before its next exchange.
	it('are known to the other control hosts when they are acknowledged', async () => {
		const fixture = new ControlFixture();
		fixture.register(target, ...HOST_IDS);
		expect(await fixture.deregister('c0', 100)).to.equal(true);
		expect(fixture.listUsing()).to.deep.equal([]);
	});

	// Guards against an acknowledged deregistration without an effect, at a host that has just started.
	it('reach the hosts that know the target from one that does not', async () => {
		const fixture = new ControlFixture();
		fixture.register(target, 'c1', 'c2');
		expect(await fixture.deregister('c0', 100)).to.equal(true);
		expect(fixture.listUsing()).to.deep.equal([]);
	});

	// Guards against a departure that the log does not hold, since only the call that its target gave up had named it.
	it('are told the log again when the target calls again', async () => {
		const fixture = new ControlFixture();
		fixture.register(target, ...HOST_IDS);
		await fixture.deregister('c0', 100);
		await fixture.deregister('c1', 100);
		expect(fixture.recorded).to.deep.equal([{targetId: 't1', startedAtMs: 1000}, {targetId: 't1', startedAtMs: 1000}]);
	});

	// Guards against a target that waits for a suspended host before it may end.
	it('are acknowledged although a host does not answer', async () => {
		for (const knowingIds of [HOST_IDS, ['c1', 'c2']]) {
			const fixture = new ControlFixture();
			fixture.register(target, ...knowingIds);
			fixture.silentIds.add('c2');
			expect(await fixture.deregister('c0', MAX_SENDING_MS / 2)).to.equal(true);
			expect(fixture.listUsing()).to.deep.equal(['c2']);
		}
	});

	// Guards against a departure that was stuck in a connection and ends the next process with the same id.
	it('do not end a process that started later', async () => {
		const fixture = new ControlFixture();
		const next = {...target, startedAtMs: 2000};
		fixture.register(next, ...HOST_IDS);
		fixture.handle('c1', {targetId: 't1', startedAtMs: target.startedAtMs});
		expect(fixture.listUsing()).to.deep.equal(HOST_IDS);
		expect(fixture.handle('c2', {targetId: 't1'})).to.deep.equal({startedAtMs: 2000});
		expect(fixture.listUsing()).to.deep.equal(HOST_IDS);
	});

	// Guards against a running process that no host uses any more, ended by the deregistration of the last one with its id: a host was suspended with it unread and, at its end, knew the target no longer.
	it('do not end the next process when their caller has gone before the target is found', async () => {
		const fixture = new ControlFixture();
		fixture.register(target, 'c0');
		fixture.clock.advance(SUSPENSION_MS);
		fixture.register({...target, startedAtMs: 2000}, 'c1', 'c2');
		const caller = new AbortController();
		const answered = fixture.deregister('c0', 100, caller.signal);
		caller.abort();
		expect(await answered).to.equal(true);
		expect(fixture.listUsing()).to.deep.equal(['c1', 'c2']);
	});
});
