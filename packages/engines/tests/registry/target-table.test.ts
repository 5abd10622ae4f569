import {createRandom, ManualClock, type Registration} from '@egretrill/common';
import {expect} from 'chai';
import {
	HostSpeeds, TargetTable, type TargetOutcome, type TargetRequirements,
} from '../../src/registry/index.js';

const requirements: TargetRequirements = {service: 's', parts: [], tried: new Set()};

function register(targetId: string, changes: Partial<Registration> = {}): Registration {
	return {
		targetId, startedAtMs: 1, sequence: 1, service: 's', address: `${targetId}:1`, zone: 'a', slots: 4, isLeaving: false, coldForMs: 0, models: [], inMemory: [], onDisk: [], ...changes,
	};
}

function createTable(registrations: readonly Registration[]): {table: TargetTable; clock: ManualClock} {
	const clock = new ManualClock();
	const table = new TargetTable({
		clock, random: () => 0, zone: 'a', getColdRate: () => 2, getBatchSlots: () => undefined,
	});
	table.update({
		origin: 'r', revision: 1, isWhole: true, targets: registrations.map(registration => ({registration, ageMs: 0, hasEnded: false})),
	});
	return {table, clock};
}

function send(table: TargetTable, outcome?: TargetOutcome): string {
	const choice = table.choose(requirements);
	if (choice.kind !== 'target') {
		return choice.kind;
	}

	const slot = table.acquireSlot(choice.targetId, requirements);
	if (outcome) {
		slot?.release(outcome);
	}

	return choice.targetId;
}

describe('TargetTable', () => {
	// Guards against each request waiting for a timeout at a powered-off target while others can serve it.
	it('avoids an unreachable target for longer after each failure, but keeps using one that answers with a failure', () => {
		const {table, clock} = createTable([register('near'), register('far', {zone: 'b'})]);
		const chosen: string[] = [];
		for (const outcome of ['answered', 'unreachable', 'answered'] as const) {
			chosen.push(send(table, outcome));
		}

		clock.advance(1600);
		chosen.push(send(table, 'unreachable'));
		clock.advance(1600);
		chosen.push(send(table, 'answered'));
		clock.advance(1600);
		chosen.push(send(table, 'answered'));
		expect(chosen).toMatchSnapshot();
	});

	// Guards against requests that wait for a timeout at each target of a partitioned zone in turn.
	it('avoids a zone when several of its targets cannot be reached, until one answers', () => {
		const {table} = createTable([register('b1', {zone: 'b'}), register('b2', {zone: 'b'}), register('b3', {zone: 'b'}), register('c1', {zone: 'c', slots: 1})]);
		const requestAt = (targetId: string, outcome: TargetOutcome): void => {
			table.acquireSlot(targetId, requirements)?.release(outcome);
		};

		requestAt('c1', 'answered');
		table.acquireSlot('c1', requirements);
		const before = table.choose(requirements);
		requestAt('b1', 'unreachable');
		requestAt('b2', 'unreachable');
		const cut = table.choose(requirements);
		requestAt('b3', 'answered');
		expect({before, cut, after: table.choose(requirements)}).toMatchSnapshot();
	});

	// Guards against preferring a target that fails some requests: it reports good health and looks idle because failed requests end early.
	it('prefers targets without recent failures', () => {
		const {table, clock} = createTable([register('grey', {slots: 64}), register('sound', {slots: 64})]);
		const count = (): Record<string, number> => {
			const counts: Record<string, number> = {grey: 0, sound: 0};
			for (let i = 0; i < 40; i++) {
				const choice = table.choose(requirements);
				const targetId = choice.kind === 'target' ? choice.targetId : '';
				counts[targetId]! += 1;
				table.acquireSlot(targetId, requirements)?.release(targetId === 'grey' && i % 5 < 2 ? 'failed' : 'answered');
				clock.advance(20);
			}

			return counts;
		};

		expect(count()).toMatchSnapshot();
	});

	// Guards against slow answers from a target that has just started while others have free slots.
	it('prefers warm targets until their load is much higher', () => {
		const {table} = createTable([register('cold', {slots: 64, coldForMs: 3000}), register('warm', {slots: 64, zone: 'b'})]);
		const chosen: string[] = [];
		for (let i = 0; i < 20; i++) {
			chosen.push(send(table));
		}

		expect(chosen.indexOf('cold')).to.be.within(10, 18);
	});

	// Guards against overloading a target that looks idle to every host because no leader reports the requests of the others.
	it('uses the load that a target reports with an answer', () => {
		const {table} = createTable([register('near'), register('far', {zone: 'b'})]);
		const before = table.choose(requirements);
		const slot = table.acquireSlot('near', requirements);
		slot?.recordLoad({running: 5, waiting: 0});
		slot?.release('answered');
		expect({before, after: table.choose(requirements)}).toMatchSnapshot();
	});

	// Guards against new requests at a target whose open connections are silent, and against a working target that is avoided as long as one dead connection stays open.
	it('avoids a target for a while after one of its answers was silent', () => {
		const {table, clock} = createTable([register('near'), register('far', {zone: 'b'})]);
		const slot = table.acquireSlot('near', requirements);
		table.acquireSlot('far', requirements);
		const chosen = [send(table, 'answered')];
		slot?.reportSilence();
		chosen.push(send(table, 'answered'));
		clock.advance(1600);
		chosen.push(send(table, 'answered'));
		expect(chosen).to.deep.equal(['near', 'far', 'near']);
	});

	// Guards against a sound target that is avoided after a silence, as if it had failed, because its streams went to another one.
	it('counts no failures of a target that was replaced while it was silent', () => {
		const {table, clock} = createTable([register('near'), register('far', {zone: 'b'})]);
		const slot = table.acquireSlot('near', requirements);
		slot?.reportSilence();
		clock.advance(1499);
		slot?.release('replaced');
		clock.advance(2);
		expect(send(table)).to.equal('near');
	});

	// Guards against a sound target that is avoided for 6 s because several connections to it timed out at once while it was silent and its queue of new connections was full.
	it('avoids an unreachable target no longer than after one failure once its answers go on', () => {
		const {table, clock} = createTable([register('near', {slots: 8}), register('far', {zone: 'b'})]);
		const [running, ...failing] = Array.from({length: 5}, () => table.acquireSlot('near', requirements));
		for (const slot of failing) {
			slot?.release('unreachable');
		}

		clock.advance(1400);
		running?.recordActivity();
		const chosen = [send(table, 'answered')];
		clock.advance(200);
		running?.release('answered');
		chosen.push(send(table, 'answered'));
		expect(chosen).to.deep.equal(['far', 'near']);
	});

	// Guards against overloading a cold target with the first burst.
	it('limits the requests to a cold target to this host\'s share', () => {
		const {table, clock} = createTable([register('cold', {coldForMs: 5000})]);
		const sends = [send(table, 'answered')];
		clock.advance(900);
		sends.push(send(table, 'answered'), send(table, 'answered'));
		// The limit applies to a sliding second: the start of a new second must not allow another burst.
		clock.advance(200);
		sends.push(send(table, 'answered'), send(table, 'answered'));
		clock.advance(1000);
		sends.push(send(table, 'answered'));
		clock.advance(5000);
		sends.push(send(table, 'answered'), send(table, 'answered'), send(table, 'answered'));
		expect(sends).toMatchSnapshot();
	});

	// Guards against requests to leaving targets, to zones out of service, or beyond the slots of a target.
	it('chooses only among targets that accept requests', () => {
		const {table} = createTable([register('leaving', {isLeaving: true}), register('out', {zone: 'c'}), register('full', {slots: 1})]);
		table.setZonesOutOfService(['c']);
		const sends = [send(table), send(table), send(table)];
		table.setZonesOutOfService([]);
		sends.push(send(table));
		expect(sends).toMatchSnapshot();
	});

	// Guards against an outdated index: requests sent to a target that no longer holds their model, or not sent to one that now does.
	it('tracks which targets hold a model after each change', () => {
		const {table} = createTable([]);
		const models = (...names: readonly string[]): Registration['models'] => names.map(name => ({name, version: 1, adapters: []}));
		const seen: string[] = [];
		let revision = 1;
		const change = (registration: Registration, hasEnded = false): void => {
			revision += 1;
			table.update({
				origin: 'r', revision, isWhole: false, targets: [{registration, ageMs: 0, hasEnded}],
			});
			const choices = ['m1', 'm2'].map(model => table.choose({...requirements, model})).map(choice => choice.kind === 'target' ? choice.targetId : choice.kind);
			seen.push(choices.join(', '));
		};

		change(register('t1', {models: models('m1')}));
		change(register('t2', {models: models('m1', 'm2')}));
		change(register('t1', {models: models('m2')}));
		change(register('t2', {models: []}));
		change(register('t1', {service: 'other', startedAtMs: 2, models: models('m1')}));
		change(register('t3', {models: models('m1')}));
		change(register('t3', {models: models('m1')}), true);
		expect(seen).toMatchSnapshot();
	});

	// Guards against scanning every engine of the fleet for each request, and again for each waiting request at each change.
	it('reads only the targets that hold the model', () => {
		const count = (targets: number): number => {
			let reads = 0;
			const {table} = createTable(Array.from({length: targets}, (_, i) => new Proxy(register(`t${i}`, {models: [{name: `m${i % (targets / 4)}`, version: 1, adapters: []}]}), {
				get(registration, name: keyof Registration) {
					reads += 1;
					return registration[name];
				},
			})));
			table.choose({...requirements, model: 'm1'});
			reads = 0;
			table.choose({...requirements, model: 'm1'});
			return reads;
		};

		expect({of8: count(8), of80: count(80)}).toMatchSnapshot();
	});

	// Guards against parsing the names of all adapters in use from JSON keys at each poll.
	it('reports the adapters in use without parsing their names', () => {
		const {table} = createTable(['t1', 't2'].map(id => register(id, {models: [{name: 'm', version: 1, adapters: ['a', 'b']}]})));
		const acquire = (targetId: string, adapter: string): (() => void) => {
			const slot = table.acquireSlot(targetId, {...requirements, model: 'm', adapter});
			return () => {
				slot?.release('answered');
			};
		};

		const releases = [acquire('t1', 'a'), acquire('t1', 'a'), acquire('t2', 'b')];
		const {parse} = JSON;
		let parsed = 0;
		JSON.parse = (text: string) => {
			parsed += 1;
			return parse(text) as unknown;
		};

		try {
			const before = table.getAdapterUses();
			releases[0]?.();
			releases[2]?.();
			expect({parsed, before, after: table.getAdapterUses()}).toMatchSnapshot();
		} finally {
			JSON.parse = parse;
		}
	});

	// Guards against the planned end of a target that counts against the requests that were still waiting there.
	it('tells of a slot whether its target leaves', () => {
		const {table} = createTable([register('announced'), register('deregistered'), register('restarted'), register('running')]);
		const slots = ['announced', 'deregistered', 'restarted', 'running'].map(targetId => table.acquireSlot(targetId, requirements));
		const changes: ReadonlyArray<readonly [registration: Registration, hasEnded: boolean]> = [
			[register('announced', {isLeaving: true}), false], [register('deregistered'), true], [register('restarted', {startedAtMs: 2}), false],
		];
		table.update({
			origin: 'r', revision: 2, isWhole: false, targets: changes.map(([registration, hasEnded]) => ({registration, ageMs: 0, hasEnded})),
		});
		expect(slots.map(slot => slot?.isLeaving())).to.deep.equal([true, true, false, false]);
	});

	// Guards against a target that stays full for a host that is cut off from the leader, by counts of other hosts whose requests have ended.
	it('forgets the requests of other hosts that nobody reports any more', () => {
		const {table, clock} = createTable([register('t')]);
		table.setOtherHostsRequests([['t', 100]]);
		const states = [table.choose(requirements).kind];
		clock.advance(2000);
		states.push(table.choose(requirements).kind);
		clock.advance(60_000);
		states.push(table.choose(requirements).kind);
		expect(states).to.deep.equal(['full', 'full', 'target']);
	});

	// Guards against a cold target that gets one request a second of each of many hosts, whatever it bears.
	it('spreads what a cold target bears over many hosts', () => {
		const hostCount = 80;
		const bearable = 26;
		const clock = new ManualClock();
		const random = createRandom(3);
		const tables = Array.from({length: hostCount}, () => new TargetTable({
			clock, random, zone: 'a', getColdRate: () => bearable / hostCount, getBatchSlots: () => 1000,
		}));
		for (const table of tables) {
			table.update({
				origin: 'r', revision: 1, isWhole: true, targets: [{registration: register('cold', {coldForMs: 10_000}), ageMs: 0, hasEnded: false}],
			});
		}

		const sentMs: number[] = [];
		while (clock.now() < 9000) {
			clock.advance(20);
			sentMs.push(...tables.filter(table => send(table, 'answered') === 'cold').map(() => clock.now()));
		}

		const mostInOneSecond = Math.max(...sentMs.map(fromMs => sentMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1000).length));
		expect(mostInOneSecond).to.be.within(1, bearable);
		expect(sentMs.length).to.be.above(9 * bearable / 3);
	});
});

describe('TargetTable, with the speeds of targets', () => {
	// Guards against other choices than before in a service whose targets do not report their current speed.
	it('uses them only once targets report their current speed', () => {
		const clock = new ManualClock();
		const speeds = new HostSpeeds(clock);
		const table = new TargetTable({
			clock, random: () => 0, zone: 'a', getColdRate: () => 2, getBatchSlots: () => 4, pricing: {speeds, getPreference: () => 0, hasIdleConnection: () => false},
		});
		table.update({
			origin: 'r', revision: 1, isWhole: true, targets: ['slow', 'fast'].map(id => ({registration: register(id), ageMs: 0, hasEnded: false})),
		});
		speeds.apply({origin: 'o', revision: 1, changed: [{targetId: 'slow', startedAtMs: 1, speed: 0.6}, {targetId: 'fast', startedAtMs: 1, speed: 1.6}]});
		const sized = {
			...requirements, work: {
				promptTokens: 400, outputTokens: 200, targetLatencyMs: 253, mayReuseConnection: true,
			},
		};
		const choices = [table.choose(sized)];
		const slot = table.acquireSlot('fast', sized);
		slot?.recordLoad({running: 1, waiting: 0});
		choices.push(table.choose(sized));
		slot?.recordLoad({running: 1, waiting: 0, slowdown: 1});
		choices.push(table.choose(sized), table.choose(requirements));
		slot?.recordLoad({running: 4, waiting: 0, slowdown: 1});
		choices.push(table.choose(sized));
		expect(choices).toMatchSnapshot();
	});
});

describe('TargetTable, with targets that speak of themselves in their answers', () => {
	const isWhole = {origin: 'r', revision: 2, isWhole: true};
	const near = register('near', {slots: 64});
	const far = register('far', {zone: 'b', slots: 64});

	function acquire(table: TargetTable): ReturnType<TargetTable['acquireSlot']> {
		return table.acquireSlot('near', requirements);
	}

	// Guards against requests at a leaving target because of a stale registration, and against a restarted one that gets none.
	it('send nothing to a target that says it leaves, until it starts anew', () => {
		const {table} = createTable([near, far]);
		acquire(table)?.reportLeaving();
		const chosen = [send(table)];
		table.update({...isWhole, targets: [{registration: {...near, sequence: 9}, ageMs: 0, hasEnded: false}, {registration: far, ageMs: 0, hasEnded: false}]});
		chosen.push(send(table));
		table.update({...isWhole, targets: [{registration: far, ageMs: 0, hasEnded: false}]});
		table.update({...isWhole, targets: [{registration: near, ageMs: 0, hasEnded: false}, {registration: far, ageMs: 0, hasEnded: false}]});
		chosen.push(send(table));
		table.update({...isWhole, targets: [{registration: {...near, startedAtMs: 2}, ageMs: 0, hasEnded: false}, {registration: far, ageMs: 0, hasEnded: false}]});
		chosen.push(send(table));
		expect(chosen).to.deep.equal(['far', 'far', 'far', 'near']);
	});

	// Guards against requests during a pause that a shorter one or a new registration ends too early.
	it('send nothing to a target during its pause', () => {
		const {table, clock} = createTable([near, far]);
		const slot = acquire(table);
		slot?.reportPause(4000);
		slot?.reportPause(1000);
		const chosen: string[] = [];
		for (const stepMs of [0, 1500, 2000, 600]) {
			clock.advance(stepMs);
			chosen.push(send(table));
		}

		expect(chosen).to.deep.equal(['far', 'far', 'far', 'near']);
	});

	// Guards against callers that are told to return at another time than the first target does.
	it('tell when the first target takes requests again if all are paused', () => {
		const {table, clock} = createTable([near, far]);
		acquire(table)?.reportPause(4000);
		table.acquireSlot('far', requirements)?.reportPause(3000);
		clock.advance(1000);
		expect([send(table), table.getPauseLeftMs(requirements)]).to.deep.equal(['paused', 2000]);
	});

	// Guards against a hint of another host that takes a target out of service.
	it('rank a target last that tells other hosts that it leaves', () => {
		const {table} = createTable([near, far]);
		const chosen: string[] = [];
		for (const startedAtMs of [0, 1]) {
			table.setLeavingHints([{targetId: 'near', startedAtMs}]);
			chosen.push(send(table));
		}

		table.update({...isWhole, targets: [{registration: near, ageMs: 0, hasEnded: false}]});
		chosen.push(send(table));
		expect(chosen).to.deep.equal(['near', 'far', 'near']);
	});

	// Guards against a stream whose target is taken to stay, or to be gone later than it is: the time counts from the registration, and a delayed later word does not extend it.
	it('tells a held slot when its target is gone', () => {
		const {table, clock} = createTable([register('t1')]);
		const slot = table.acquireSlot('t1', requirements);
		const left = [slot?.getLeaveLeftMs()];
		for (const ageMs of [300, 0]) {
			table.update({
				origin: 'r', revision: 2, isWhole: false, targets: [{registration: register('t1', {isLeaving: true, leavesInMs: 5000}), ageMs, hasEnded: false}],
			});
			left.push(slot?.getLeaveLeftMs());
			clock.advance(1000);
		}

		expect(left).to.deep.equal([undefined, 4700, 3700]);
	});
});
