import {createLogger, ManualClock, type Registration} from '@egretrill/common';
import {TargetRegistry, TargetTable} from '@egretrill/engines';
import type {TargetDeparture} from '@egretrill/hosts';
import {expect} from 'chai';
import {DepartureLog} from '../../src/traffic/departure-log.js';
import {getServedTargets, hasAppliedLog, RegistrySettling} from '../../src/traffic/registry-settling.js';

const HEARTBEAT_MS = 1200;

function createRegistration(targetId: string, sequence: number): Registration {
	return {
		targetId, startedAtMs: 1, sequence, service: 's', address: `127.0.0.1:${targetId === 'left' ? 1 : 2}`, zone: 'z', slots: 4, isLeaving: false, coldForMs: 0, models: [], inMemory: [], onDisk: [],
	};
}

/** A control host with an entry host that polls it; a restart leaves it without registrations, and with a log that it may have yet to apply. */
class PolledControl {
	readonly table: TargetTable;
	registry: TargetRegistry;
	settling: RegistrySettling;
	hasAppliedLog = true;
	departures: readonly TargetDeparture[] = [];
	private readonly departureLog: DepartureLog;

	constructor(private readonly clock: ManualClock) {
		this.table = new TargetTable({
			clock, random: () => 0, zone: 'z', getColdRate: () => 0, getBatchSlots: () => undefined,
		});
		this.departureLog = new DepartureLog({
			log: {propose: async () => ({kind: 'committed', result: {kind: 'departed'}})}, state: {getDepartures: () => this.departures}, logger: createLogger('test', 'fatal'), getTimeOfDayMs: () => clock.now(),
		});
		this.registry = new TargetRegistry(clock, 'first');
		this.settling = new RegistrySettling(clock, () => this.hasAppliedLog);
	}

	restart(): void {
		this.registry = new TargetRegistry(this.clock, 'second', undefined, registration => this.departureLog.hasLeft(registration));
		this.settling = new RegistrySettling(this.clock, () => this.hasAppliedLog);
	}

	/** Polls, and returns the targets to which the entry host would send a request. */
	poll(): readonly string[] {
		const update = getServedTargets({registry: this.registry, settling: this.settling, departureLog: this.departureLog}, this.table.getFollowedRevision());
		if (update.isWhole || update.targets.length > 0) {
			this.table.update(update);
		}

		const tried = new Set<string>();
		for (;;) {
			const choice = this.table.choose({service: 's', parts: [], tried});
			if (choice.kind !== 'target') {
				return [...tried].toSorted();
			}

			tried.add(choice.targetId);
		}
	}
}

describe('a control host that has restarted', () => {
	// Guards against a target that has left and is used again, because the restarted host knows only a late registration of it, and against running targets that are dropped.
	it('serves no targets until it knows what the others know', () => {
		const clock = new ManualClock();
		const peer = new TargetRegistry(clock, 'peer');
		const control = new PolledControl(clock);
		for (const registry of [peer, control.registry]) {
			registry.accept(createRegistration('left', 1));
			registry.accept(createRegistration('running', 1));
		}

		clock.advance(HEARTBEAT_MS * 2);
		const before = control.poll();
		for (const registry of [peer, control.registry]) {
			registry.accept(createRegistration('running', 3));
			registry.markEnded('left');
		}

		const afterLeaving = control.poll();
		control.restart();
		control.registry.accept(createRegistration('left', 2));
		const afterLateRegistration = control.poll();
		control.registry.merge(peer.getUpdateSince({origin: '', revision: 0}, true).targets);
		control.settling.recordExchange(true);
		expect({
			before, afterLeaving, afterLateRegistration, afterExchange: control.poll(),
		}).toMatchSnapshot();
	});

	// Guards against a fleet whose control hosts all restarted and wait for each other for good.
	it('serves the targets that have registered once all had the time to', () => {
		const clock = new ManualClock();
		const control = new PolledControl(clock);
		control.registry.accept(createRegistration('running', 1));
		control.settling.recordExchange(false);
		const early = control.poll();
		clock.advance(1500);
		expect({early, later: control.poll()}).toMatchSnapshot();
	});

	// Guards against a target that has left and is used again before the restarted host has read in its log that it has, and against a host that waits for the log for good.
	it('serves no targets until its log tells which ones have left, or for a while without a leader', () => {
		const served = [true, false].map(isLogApplied => {
			const clock = new ManualClock();
			const control = new PolledControl(clock);
			control.hasAppliedLog = false;
			control.restart();
			control.registry.accept(createRegistration('left', 2));
			clock.advance(1500);
			control.registry.accept(createRegistration('running', 2));
			const beforeLog = control.poll();
			if (isLogApplied) {
				control.hasAppliedLog = true;
				control.departures = [{targetId: 'left', startedAtMs: 1, leftAtMs: 0}];
			}

			const afterLog = control.poll();
			clock.advance(4500);
			return {beforeLog, afterLog, later: control.poll()};
		});
		expect(served).toMatchSnapshot();
	});

	// Guards against a member that starts from a snapshot, takes it for the whole log before any leader has told of later departures, and serves a target that has left.
	it('takes its log for applied only once a leader has been heard', () => {
		const createNode = (leaderId: string | undefined, appliedIndex: number): Parameters<typeof hasAppliedLog>[0] => ({
			hasReplayed: () => true,
			status: () => ({
				memberId: 'a', identity: 'a', role: 'follower', term: 1, leaderId, lastIndex: 5, commitIndex: 5, appliedIndex, snapshotIndex: 5, members: [],
			}),
		});
		expect([createNode(undefined, 5), createNode('b', 0), createNode('b', 5)].map(node => hasAppliedLog(node))).to.deep.equal([false, false, true]);
	});
});
