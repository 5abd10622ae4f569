import {ManualClock, MAX_SOUND_SILENCE_MS, type Registration} from '@egretrill/common';
import {expect} from 'chai';
import {ADDRESS_SILENCE_MS, ENDED_RETENTION_MS, TargetRegistry} from '../../src/registry/index.js';

const HEARTBEAT_MS = 1200;
const SWEEP_MS = 250;

const good: Registration = {
	targetId: 'good', startedAtMs: 1000, sequence: 1, service: 'drafts', address: '127.0.0.1:9000', zone: 'a', slots: 8, isLeaving: false, coldForMs: 0, models: [], inMemory: [], onDisk: [],
};

const other: Registration = {...good, targetId: 'other', startedAtMs: 5000};

/** A registry whose time passes in steps of a sweep, with the heartbeats of the targets that are running. */
class RegistryFixture {
	readonly clock = new ManualClock();
	readonly registry = new TargetRegistry(this.clock, 'r1');
	private readonly sequences = new Map<string, number>();

	register(registration: Registration): void {
		const sequence = (this.sequences.get(registration.targetId) ?? 0) + 1;
		this.sequences.set(registration.targetId, sequence);
		this.registry.accept({...registration, sequence});
	}

	/** Lets time pass while targets register; returns the targets that are usable after each of their heartbeats. */
	run(durationMs: number, ...running: readonly Registration[]): readonly string[] {
		const usable: string[] = [];
		const startMs = this.clock.now();
		let nextMs = startMs;
		while (this.clock.now() < startMs + durationMs) {
			if (this.clock.now() >= nextMs) {
				nextMs += HEARTBEAT_MS;
				for (const registration of running) {
					this.register(registration);
				}

				usable.push(this.listUsable());
			}

			this.registry.sweep();
			this.clock.advance(SWEEP_MS);
		}

		return usable;
	}

	listUsable(): string {
		return this.registry.getLive().map(({targetId}) => targetId).join(' ');
	}

	/** Returns the targets that entry hosts may use. */
	listForEntryHosts(): string {
		const {targets} = this.registry.getUpdateSince({origin: '', revision: 0}, false);
		return targets.filter(({hasEnded}) => !hasEnded).map(({registration: {targetId}}) => targetId).join(' ');
	}
}

describe('addresses of registered targets', () => {
	// Guards against an odd entry that ends the registration of a running engine at its address.
	it('stay with a target that goes on registering', () => {
		const fixture = new RegistryFixture();
		fixture.run(3 * HEARTBEAT_MS, good);
		fixture.register(other);
		expect(fixture.listUsable()).to.equal('good');
		const beside = fixture.run(10 * HEARTBEAT_MS, good, other);
		const afterwards = fixture.run(10 * HEARTBEAT_MS, good);
		expect(new Set([...beside, ...afterwards])).to.deep.equal(new Set(['good']));
		expect(fixture.listForEntryHosts()).to.equal('good');
	});

	// Guards against a sound engine that loses its address to another entry because it was silent for 1.6 s.
	it('stay with a target that is silent between two heartbeats', () => {
		for (const beside of [[other], []]) {
			const fixture = new RegistryFixture();
			fixture.run(3 * HEARTBEAT_MS, good, ...beside);
			const during = fixture.run(MAX_SOUND_SILENCE_MS, ...beside);
			fixture.register(other);
			fixture.register(good);
			expect(new Set([...during, ...fixture.run(3 * HEARTBEAT_MS, good, other)])).to.deep.equal(new Set(['good']));
		}
	});

	// Guards against a needless delay before an engine that was started again under a new id is used.
	it('go to a successor within two heartbeats', () => {
		const fixture = new RegistryFixture();
		fixture.run(3 * HEARTBEAT_MS, good);
		fixture.run((2 * HEARTBEAT_MS) + SWEEP_MS, other);
		expect(fixture.listUsable()).to.equal('other');
		expect(fixture.listForEntryHosts()).to.equal('other');
	});

	// Guards against a delayed registration of a dead process that takes the address from its successor.
	it('are not given back for a delayed registration', () => {
		const fixture = new RegistryFixture();
		fixture.run(3 * HEARTBEAT_MS, good);
		fixture.run(3 * HEARTBEAT_MS, other);
		fixture.register(good);
		expect(fixture.listUsable()).to.equal('other');
		expect(new Set(fixture.run(5 * HEARTBEAT_MS, other))).to.deep.equal(new Set(['other']));
	});

	// Guards against an engine that loses its address for good because its registrations were late once.
	it('come back to the first target after a gap in its registrations', () => {
		const fixture = new RegistryFixture();
		fixture.run(3 * HEARTBEAT_MS, good);
		fixture.run(3 * HEARTBEAT_MS, other);
		const usable = fixture.run(6 * HEARTBEAT_MS, good, other);
		expect(usable).to.deep.equal(['other', 'other', 'good', 'good', 'good', 'good']);
	});

	// Guards against an odd entry with a late start that blocks an address after it has fallen silent.
	it('go to a target that started earlier once the other is silent', () => {
		const fixture = new RegistryFixture();
		fixture.register(other);
		fixture.run(3 * HEARTBEAT_MS, good);
		expect(fixture.listUsable()).to.equal('good');
	});

	// Guards against a wait for a predecessor that has announced its end.
	it('go to a successor at once if the holder is leaving or has left', () => {
		for (const leave of ['leaving', 'left']) {
			const fixture = new RegistryFixture();
			fixture.run(3 * HEARTBEAT_MS, good);
			fixture.register({...good, isLeaving: true});
			if (leave === 'left') {
				fixture.registry.markEnded('good');
			}

			fixture.register(other);
			expect(fixture.listUsable()).to.equal('other');
		}
	});

	// Guards against a control host that has just started and gives the address to the odd entry.
	it('are known to a control host that learns of both targets at once', () => {
		const fixture = new RegistryFixture();
		fixture.run(3 * HEARTBEAT_MS, good);
		fixture.register(other);
		fixture.register(good);
		const next = new TargetRegistry(fixture.clock, 'r2');
		next.merge(fixture.registry.getUpdateSince({origin: '', revision: 0}, true).targets);
		expect(next.getLive().map(({targetId}) => targetId)).to.deep.equal(['good']);
	});

	// Guards against lists that grow with each target that was started again under a new id.
	it('keep no targets that fell silent long ago', () => {
		const fixture = new RegistryFixture();
		fixture.run(HEARTBEAT_MS, good);
		fixture.run(ADDRESS_SILENCE_MS + ENDED_RETENTION_MS + HEARTBEAT_MS, other);
		const {targets} = fixture.registry.getUpdateSince({origin: '', revision: 0}, true);
		expect(targets.map(({registration: {targetId}}) => targetId)).to.deep.equal(['other']);
	});
});
