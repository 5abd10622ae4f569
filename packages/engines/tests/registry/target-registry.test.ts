import {ManualClock, type Registration} from '@egretrill/common';
import {expect} from 'chai';
import {
	ADDRESS_SILENCE_MS, ENDED_RETENTION_MS, MAX_TARGETS, TargetRegistry,
} from '../../src/registry/index.js';

function register(changes: Partial<Registration> = {}): Registration {
	return {
		targetId: 't1', startedAtMs: 1000, sequence: 1, service: 'drafts', address: '127.0.0.1:9000', zone: 'a', slots: 8, isLeaving: false, coldForMs: 0, models: [{name: 'm1', version: 1, adapters: []}], inMemory: [], onDisk: [], ...changes,
	};
}

function describeLive(registry: TargetRegistry): readonly string[] {
	return registry.getLive().map(({targetId, startedAtMs, sequence, isLeaving}) => `${targetId} of ${startedAtMs}, ${sequence}${isLeaving ? ', leaving' : ''}`);
}

describe('TargetRegistry', () => {
	// Guards against a delayed registration that overwrites a newer one, so that a leaving target is used again.
	it('keeps the newest registration of a process', () => {
		const registry = new TargetRegistry(new ManualClock(), 'r1');
		const accepted = [
			registry.accept(register({sequence: 3, isLeaving: true})),
			registry.accept(register({sequence: 2})),
			registry.accept(register({sequence: 4, isLeaving: true})),
			registry.accept(register({startedAtMs: 2000, sequence: 1})),
			registry.accept(register({sequence: 9})),
		];
		expect({accepted, live: describeLive(registry)}).toMatchSnapshot();
	});

	// Guards against requests to a target that has left, when its last registration arrives afterwards.
	it('does not revive a process that has ended', () => {
		const registry = new TargetRegistry(new ManualClock(), 'r1');
		registry.accept(register({sequence: 1}));
		registry.markEnded('t1');
		const late = registry.accept(register({sequence: 2}));
		const next = registry.accept(register({startedAtMs: 2000, sequence: 1}));
		expect({late, next, live: describeLive(registry)}).toMatchSnapshot();
	});

	// Guards against a delayed registration of a dead process that removes the process now using its address.
	it('assigns an address to the process that started last', () => {
		const clock = new ManualClock();
		const registry = new TargetRegistry(clock, 'r1');
		registry.accept(register({targetId: 'old', startedAtMs: 1000}));
		clock.advance(ADDRESS_SILENCE_MS + 1);
		registry.accept(register({targetId: 'new', startedAtMs: 3000}));
		registry.accept(register({targetId: 'old', startedAtMs: 1000, sequence: 7}));
		expect({late: registry.get('old') !== undefined, live: describeLive(registry)}).toMatchSnapshot();
	});

	// Guards against the use of a target that crashed without deregistering.
	it('excludes silent targets until they register again', async () => {
		const clock = new ManualClock();
		const registry = new TargetRegistry(clock, 'r1');
		registry.accept(register({sequence: 1}));
		clock.advance(6001);
		const silent = describeLive(registry);
		const known = registry.getUpdateSince({origin: '', revision: 0}, false);
		registry.accept(register({sequence: 2}));
		expect({silent, again: describeLive(registry), update: registry.getUpdateSince(known, false).targets.length}).toMatchSnapshot();
	});

	// Guards against a running target that entry hosts have removed for good, since a delayed exchange brought a registration from before it counted as silent.
	it('sends a silent target again after a delayed registration', () => {
		const clock = new ManualClock();
		const registry = new TargetRegistry(clock, 'r1');
		registry.accept(register({sequence: 1}));
		clock.advance(6001);
		registry.sweep();
		const known = registry.getUpdateSince({origin: '', revision: 0}, false);
		registry.merge([{registration: register({sequence: 2}), ageMs: 500, hasEnded: false}]);
		const {targets} = registry.getUpdateSince(known, false);
		expect(targets.map(({ageMs}) => ageMs)).to.deep.equal([500]);
	});

	// Guards against updates to every entry host for each registration although nothing changed.
	it('sends only changes to entry hosts, and also heartbeats to control hosts', () => {
		const registry = new TargetRegistry(new ManualClock(), 'r1');
		registry.accept(register({sequence: 1}));
		const known = registry.getUpdateSince({origin: '', revision: 0}, false);
		registry.accept(register({sequence: 2, orderCount: 4}));
		const quiet = {toEntryHosts: registry.getUpdateSince(known, false).targets.length, toControlHosts: registry.getUpdateSince(known, true).targets.length};
		registry.accept(register({sequence: 3, isLeaving: true}));
		expect({quiet, changed: registry.getUpdateSince(known, false).targets.length, elsewhere: registry.getUpdateSince({origin: 'r2', revision: 1}, false).isWhole}).toMatchSnapshot();
	});

	// Guards against requests that wait until the next registration for an adapter that the engine already holds.
	it('overrides the models after an order until registrations include the change', () => {
		const clock = new ManualClock();
		const registry = new TargetRegistry(clock, 'r1');
		registry.accept(register({sequence: 1}));
		registry.overrideModels({targetId: 't1', startedAtMs: 1000}, [{name: 'm1', version: 1, adapters: ['a1']}]);
		const getAdapters = () => registry.get('t1')?.models[0]?.adapters;
		const believed = getAdapters();
		registry.accept(register({sequence: 2}));
		const kept = getAdapters();
		clock.advance(1600);
		registry.accept(register({sequence: 3}));
		expect({believed, kept, corrected: getAdapters()}).toMatchSnapshot();
	});

	// Guards against hosts that keep using a leaving target because they did not receive its last registration themselves.
	it('merges the registrations received by another host', () => {
		const clock = new ManualClock();
		const first = new TargetRegistry(clock, 'r1');
		const second = new TargetRegistry(clock, 'r2');
		first.accept(register({sequence: 5, isLeaving: true}));
		second.accept(register({sequence: 4}));
		second.merge(first.getUpdateSince({origin: '', revision: 0}, true).targets);
		const leaving = describeLive(second);
		first.markEnded('t1');
		second.merge(first.getUpdateSince({origin: '', revision: 0}, true).targets);
		expect({leaving, ended: describeLive(second)}).toMatchSnapshot();
	});

	// Guards against a writer of ever new ids that makes the update of all targets longer than any reader accepts.
	it('holds at most as many targets as an update may list', () => {
		const clock = new ManualClock();
		const registry = new TargetRegistry(clock, 'r1');
		const accept = (number: number, sequence = 1): boolean => registry.accept(register({targetId: `t${number}`, sequence, address: `10.0.${Math.floor(number / 250)}.${number % 250}:80`}));
		for (let number = 0; number < MAX_TARGETS; number++) {
			accept(number);
		}

		const isFull = {isNewAccepted: accept(MAX_TARGETS), isKnownAccepted: accept(0, 2), targets: registry.getUpdateSince({origin: '', revision: 0}, false).targets.length};
		clock.advance(ENDED_RETENTION_MS + 1);
		registry.sweep();
		const later = {isNewAccepted: accept(MAX_TARGETS), targets: registry.getUpdateSince({origin: '', revision: 0}, false).targets.length};
		expect({isFull, later}).to.deep.equal({isFull: {isNewAccepted: false, isKnownAccepted: true, targets: MAX_TARGETS}, later: {isNewAccepted: true, targets: 1}});
	});
});
