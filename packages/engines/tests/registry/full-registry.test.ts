import {countRegistrationValues, ManualClock, type Registration} from '@egretrill/common';
import {expect} from 'chai';
import {
	ADDRESS_SILENCE_MS, MAX_REGISTRY_VALUES, MAX_TARGETS, TargetRegistry,
} from '../../src/registry/index.js';

const HEARTBEAT_MS = 1200;

function register(number: number, changes: Partial<Registration> = {}): Registration {
	return {
		targetId: `t${number}`, startedAtMs: 1000, sequence: 1, service: 'drafts', address: `10.0.${Math.floor(number / 250)}.${number % 250}:80`, zone: 'a', slots: 8, isLeaving: false, coldForMs: 0, models: [], inMemory: [], onDisk: [], ...changes,
	};
}

const engine = register(0, {targetId: 'engine', address: '127.0.0.1:9000'});

/** Fills a registry whose configuration names the service `drafts`; returns the number of targets. */
function fill(registry: TargetRegistry, changes: Partial<Registration>): number {
	for (let number = 0; number < MAX_TARGETS; number++) {
		registry.accept(register(number, changes));
	}

	return registry.getLive().length;
}

function createRegistry(clock: ManualClock): TargetRegistry {
	return new TargetRegistry(clock, 'r1', service => service === 'drafts');
}

describe('a full registry', () => {
	// Guards against odd entries that keep out a new engine for as long as they go on registering.
	it('takes a target of a named service in place of others', () => {
		const clock = new ManualClock();
		const registry = createRegistry(clock);
		for (let sequence = 1; sequence <= 4; sequence++) {
			fill(registry, {service: 'odd', sequence});
			clock.advance(HEARTBEAT_MS);
		}

		expect(registry.accept(engine)).to.equal(true);
		expect(registry.accept(register(MAX_TARGETS, {service: 'odd'}))).to.equal(true);
		expect(registry.get('engine')?.targetId).to.equal('engine');
		expect(registry.getLive().length).to.be.at.most(MAX_TARGETS);
	});

	// Guards against the same by entries that name a service of the configuration but register once only.
	it('takes a target in place of silent ones', () => {
		const clock = new ManualClock();
		const registry = createRegistry(clock);
		fill(registry, {});
		expect(registry.accept(engine)).to.equal(false);
		clock.advance(6001);
		expect(registry.accept({...engine, sequence: 2})).to.equal(true);
	});

	// Guards against new odd entries that end the registrations of running engines.
	it('keeps targets that go on registering before new ones', () => {
		const clock = new ManualClock();
		const registry = createRegistry(clock);
		registry.accept(engine);
		clock.advance(ADDRESS_SILENCE_MS);
		registry.accept({...engine, sequence: 2});
		fill(registry, {});
		registry.accept(register(MAX_TARGETS + 1));
		expect(registry.get('engine')?.sequence).to.equal(2);
	});

	// Guards against a dropped target that entry hosts go on using.
	it('sends all targets after it has dropped some', () => {
		const clock = new ManualClock();
		const registry = createRegistry(clock);
		fill(registry, {service: 'odd'});
		const {origin, revision} = registry.getUpdateSince({origin: '', revision: 0}, false);
		registry.accept(engine);
		const {isWhole, targets} = registry.getUpdateSince({origin, revision}, false);
		expect({isWhole, isShorter: targets.length < MAX_TARGETS}).to.deep.equal({isWhole: true, isShorter: true});
	});

	// Guards against registrations within their own bounds that together make an update unreadable.
	it('holds at most as many values as a message may have', () => {
		const registry = createRegistry(new ManualClock());
		const onDisk = Array.from({length: 1000}, (_, i) => `m${i}`);
		fill(registry, {onDisk});
		let values = 0;
		for (const {registration} of registry.getUpdateSince({origin: '', revision: 0}, true).targets) {
			values += countRegistrationValues(registration);
		}

		expect(values).to.be.within(MAX_REGISTRY_VALUES - 2000, MAX_REGISTRY_VALUES);
	});
});
