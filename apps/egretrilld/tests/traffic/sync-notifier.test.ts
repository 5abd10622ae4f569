import {ManualClock, type Registration} from '@egretrill/common';
import {TargetRegistry} from '@egretrill/engines';
import {expect} from 'chai';
import {SyncNotifier} from '../../src/traffic/index.js';

const registration: Registration = {
	targetId: 't1', startedAtMs: 1, sequence: 1, service: 's', address: '127.0.0.1:1', zone: 'z', slots: 8, isLeaving: false, coldForMs: 0, models: [], inMemory: [], onDisk: [],
};

/** A registry that counts how often polls check for changes. */
class CountingRegistry extends TargetRegistry {
	looks = 0;

	override hasChangedSince(known: {readonly origin: string; readonly revision: number}): boolean {
		this.looks += 1;
		return super.hasChangedSince(known);
	}
}

class NotifierFixture {
	readonly clock = new ManualClock();
	readonly registry = new CountingRegistry(this.clock, 'r');
	configVersion = 1;
	hasCrashes = false;
	ended = 0;
	readonly notifier = new SyncNotifier({
		clock: this.clock, registry: this.registry, getConfigVersion: () => this.configVersion, hasCrashesSince: () => this.hasCrashes,
	});

	constructor() {
		this.registry.accept(registration);
		this.notifier.notifyIfChanged();
	}

	hold(polls: number): void {
		const known = this.registry.getUpdateSince({origin: '', revision: 0}, false);
		for (let i = 0; i < polls; i++) {
			void this.holdOne(known);
		}

		this.registry.looks = 0;
	}

	private async holdOne(known: {readonly origin: string; readonly revision: number}): Promise<void> {
		await this.notifier.wait({configVersion: 1, registry: known}, 200);
		this.ended += 1;
	}
}

describe('SyncNotifier', () => {
	// Guards against hosts that receive a change only when their poll times out.
	it('completes held polls when the configuration or a target changes, and otherwise when they time out', async () => {
		const ends: Record<string, number> = {};
		const play = async (name: string, change: (fixture: NotifierFixture) => void): Promise<void> => {
			const fixture = new NotifierFixture();
			fixture.hold(3);
			await fixture.clock.run(50);
			change(fixture);
			fixture.notifier.notifyIfChanged();
			await fixture.clock.run(1);
			ends[name] = fixture.ended;
		};

		await play('configuration', fixture => {
			fixture.configVersion = 2;
		});
		await play('target', fixture => {
			fixture.registry.markEnded('t1');
		});
		await play('evidence on what ends targets', fixture => {
			fixture.hasCrashes = true;
			fixture.notifier.notify();
		});
		await play('heartbeat', fixture => {
			fixture.registry.accept({...registration, sequence: 2});
		});
		await play('time', fixture => {
			fixture.clock.advance(150);
		});
		expect(ends).toMatchSnapshot();
	});

	// Guards against a control host that wakes the held polls of the whole fleet at each log entry and each check for expired targets.
	it('wakes no poll when nothing has changed', async () => {
		const fixture = new NotifierFixture();
		fixture.hold(80);
		for (let i = 0; i < 5; i++) {
			fixture.registry.accept({...registration, sequence: 2 + i});
			fixture.notifier.notifyIfChanged();
			await fixture.clock.run(10);
		}

		expect({looks: fixture.registry.looks, ended: fixture.ended}).toMatchSnapshot();
	});
});
