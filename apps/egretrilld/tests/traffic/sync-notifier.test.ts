import {ManualClock, type Registration} from '@egretrill/common';
import {TargetRegistry} from '@egretrill/engines';
import {expect} from 'chai';
import {SyncNotifier} from '../../src/traffic/index.js';

const registration: Registration = {
	targetId: 't1', startedAtMs: 1, sequence: 1, service: 's', address: '127.0.0.1:1', zone: 'z', slots: 8, isLeaving: false, coldForMs: 0, models: [], inMemory: [], onDisk: [],
};

/** A registry that counts how often polls look for changes. */
class CountingRegistry extends TargetRegistry {
	looks = 0;

	override hasChangedSince(known: {readonly origin: string; readonly revision: number}): boolean {
		this.looks += 1;
		return super.hasChangedSince(known);
	}
}

class NewsWorld {
	readonly clock = new ManualClock();
	readonly registry = new CountingRegistry(this.clock, 'r');
	configVersion = 1;
	ended = 0;
	readonly news = new SyncNotifier({clock: this.clock, registry: this.registry, getConfigVersion: () => this.configVersion});

	constructor() {
		this.registry.accept(registration);
		this.news.notifyIfChanged();
	}

	hold(polls: number): void {
		const known = this.registry.getUpdateSince({origin: '', revision: 0}, false);
		for (let i = 0; i < polls; i++) {
			void this.holdOne(known);
		}

		this.registry.looks = 0;
	}

	private async holdOne(known: {readonly origin: string; readonly revision: number}): Promise<void> {
		await this.news.wait(1, known, 200);
		this.ended += 1;
	}
}

describe('SyncNotifier', () => {
	// Guards against hosts that hear of a change only when their poll is over.
	it('ends held polls at a change of the configuration or of a target, and otherwise when their time is over', async () => {
		const ends: Record<string, number> = {};
		const play = async (name: string, change: (world: NewsWorld) => void): Promise<void> => {
			const world = new NewsWorld();
			world.hold(3);
			await world.clock.run(50);
			change(world);
			world.news.notifyIfChanged();
			await world.clock.run(1);
			ends[name] = world.ended;
		};

		await play('configuration', world => {
			world.configVersion = 2;
		});
		await play('target', world => {
			world.registry.end('t1');
		});
		await play('heartbeat', world => {
			world.registry.accept({...registration, sequence: 2});
		});
		await play('time', world => {
			world.clock.advance(150);
		});
		expect(ends).toMatchSnapshot();
	});

	// Guards against a control host that wakes the held polls of a whole fleet at each entry of the log and each look for silent targets.
	it('wakes no poll when there is nothing to tell', async () => {
		const world = new NewsWorld();
		world.hold(80);
		for (let i = 0; i < 5; i++) {
			world.registry.accept({...registration, sequence: 2 + i});
			world.news.notifyIfChanged();
			await world.clock.run(10);
		}

		expect({looks: world.registry.looks, ended: world.ended}).toMatchSnapshot();
	});
});
