import {ManualClock, type Registration} from '@egretrill/common';
import {TargetRegistry, TargetTable} from '@egretrill/engines';
import {expect} from 'chai';
import {getServedTargets, RegistrySettling} from '../../src/traffic/registry-settling.js';

const HEARTBEAT_MS = 1200;

function createRegistration(targetId: string, sequence: number): Registration {
	return {
		targetId, startedAtMs: 1, sequence, service: 's', address: `127.0.0.1:${targetId === 'left' ? 1 : 2}`, zone: 'z', slots: 4, isLeaving: false, coldForMs: 0, models: [], inMemory: [], onDisk: [],
	};
}

/** A control host with an entry host that polls it; a restart leaves it without registrations. */
class PolledControl {
	readonly table: TargetTable;
	registry: TargetRegistry;
	settling: RegistrySettling;

	constructor(private readonly clock: ManualClock) {
		this.table = new TargetTable({
			clock, random: () => 0, zone: 'z', getColdRate: () => 0, getBatchSlots: () => undefined,
		});
		this.registry = new TargetRegistry(clock, 'first');
		this.settling = new RegistrySettling(clock);
	}

	restart(): void {
		this.registry = new TargetRegistry(this.clock, 'second');
		this.settling = new RegistrySettling(this.clock);
	}

	/** Polls, and returns the targets to which the entry host would send a request. */
	poll(): readonly string[] {
		const update = getServedTargets(this.registry, this.settling, this.table.getFollowedRevision());
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
});
