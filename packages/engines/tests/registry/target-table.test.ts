import {ManualClock, type Registration} from '@egretrill/common';
import {expect} from 'chai';
import {TargetTable, type TargetOutcome, type TargetRequirements} from '../../src/registry/index.js';

const need: TargetRequirements = {service: 's', parts: [], tried: new Set()};

function register(targetId: string, changes: Partial<Registration> = {}): Registration {
	return {
		targetId, startedAtMs: 1, sequence: 1, service: 's', address: `${targetId}:1`, zone: 'a', slots: 4, isLeaving: false, coldForMs: 0, models: [], inMemory: [], onDisk: [], ...changes,
	};
}

function createBook(registrations: readonly Registration[]): {book: TargetTable; clock: ManualClock} {
	const clock = new ManualClock();
	const book = new TargetTable({
		clock, zone: 'a', getColdRate: () => 2, getBatchSlots: () => undefined,
	});
	book.update({
		origin: 'r', revision: 1, isWhole: true, targets: registrations.map(registration => ({registration, ageMs: 0, hasEnded: false})),
	});
	return {book, clock};
}

function send(book: TargetTable, end?: TargetOutcome): string {
	const choice = book.choose(need);
	if (choice.kind !== 'target') {
		return choice.kind;
	}

	const place = book.acquireSlot(choice.targetId, need);
	if (end) {
		place?.release(end);
	}

	return choice.targetId;
}

describe('TargetBook', () => {
	// Guards against each request losing a timeout to a target without power while others serve.
	it('leaves an unreachable target alone for longer each time, and one that answers with a failure in use', () => {
		const {book, clock} = createBook([register('near'), register('far', {zone: 'b'})]);
		const chosen: string[] = [];
		for (const end of ['answered', 'unreachable', 'answered'] as const) {
			chosen.push(send(book, end));
		}

		clock.advance(1600);
		chosen.push(send(book, 'unreachable'));
		clock.advance(1600);
		chosen.push(send(book, 'answered'));
		clock.advance(1600);
		chosen.push(send(book, 'answered'));
		expect(chosen).toMatchSnapshot();
	});

	// Guards against requests that lose a timeout to each target of a zone that is cut off, one after the other.
	it('leaves a zone alone when several of its targets cannot be reached, until one answers', () => {
		const {book} = createBook([register('b1', {zone: 'b'}), register('b2', {zone: 'b'}), register('b3', {zone: 'b'}), register('c1', {zone: 'c', slots: 1})]);
		const at = (targetId: string, end: TargetOutcome): void => {
			book.acquireSlot(targetId, need)?.release(end);
		};

		at('c1', 'answered');
		book.acquireSlot('c1', need);
		const before = book.choose(need);
		at('b1', 'unreachable');
		at('b2', 'unreachable');
		const cut = book.choose(need);
		at('b3', 'answered');
		expect({before, cut, after: book.choose(need)}).toMatchSnapshot();
	});

	// Guards against a target that fails part of its requests, says that it is well, and seems idle because of that.
	it('prefers targets that have not failed lately', () => {
		const {book, clock} = createBook([register('grey', {slots: 64}), register('sound', {slots: 64})]);
		const count = (): Record<string, number> => {
			const counts: Record<string, number> = {grey: 0, sound: 0};
			for (let i = 0; i < 40; i++) {
				const choice = book.choose(need);
				const targetId = choice.kind === 'target' ? choice.targetId : '';
				counts[targetId]! += 1;
				book.acquireSlot(targetId, need)?.release(targetId === 'grey' && i % 5 < 2 ? 'failed' : 'answered');
				clock.advance(20);
			}

			return counts;
		};

		expect(count()).toMatchSnapshot();
	});

	// Guards against requests that are answered slowly by a target which has just started, while others have room.
	it('prefers warm targets until they carry much more', () => {
		const {book} = createBook([register('cold', {slots: 64, coldForMs: 3000}), register('warm', {slots: 64, zone: 'b'})]);
		const chosen: string[] = [];
		for (let i = 0; i < 20; i++) {
			chosen.push(send(book));
		}

		expect(chosen.indexOf('cold')).to.be.within(10, 18);
	});

	// Guards against a target that every host takes for idle while no leader tells what the others have sent there.
	it('believes the load that a target tells with an answer', () => {
		const {book} = createBook([register('near'), register('far', {zone: 'b'})]);
		const before = book.choose(need);
		const place = book.acquireSlot('near', need);
		place?.updateOutstanding(5);
		place?.release('answered');
		expect({before, after: book.choose(need)}).toMatchSnapshot();
	});

	// Guards against a cold target that breaks down under the first burst.
	it('sends a cold target no more than this host\'s part', () => {
		const {book, clock} = createBook([register('cold', {coldForMs: 5000})]);
		const sends = [send(book, 'answered')];
		clock.advance(900);
		sends.push(send(book, 'answered'), send(book, 'answered'));
		// A second that begins anew must not allow a second burst at once.
		clock.advance(200);
		sends.push(send(book, 'answered'), send(book, 'answered'));
		clock.advance(1000);
		sends.push(send(book, 'answered'));
		clock.advance(5000);
		sends.push(send(book, 'answered'), send(book, 'answered'), send(book, 'answered'));
		expect(sends).toMatchSnapshot();
	});

	// Guards against work for leaving targets, for zones out of service, and beyond the places of a target.
	it('chooses among targets that may take work', () => {
		const {book} = createBook([register('leaving', {isLeaving: true}), register('out', {zone: 'c'}), register('full', {slots: 1})]);
		book.setZonesOutOfService(['c']);
		const sends = [send(book), send(book), send(book)];
		book.setZonesOutOfService([]);
		sends.push(send(book));
		expect(sends).toMatchSnapshot();
	});

	// Guards against requests that go to a target which no longer holds their model, or miss one that holds it now.
	it('knows which targets hold a model after each change', () => {
		const {book} = createBook([]);
		const models = (...names: readonly string[]): Registration['models'] => names.map(name => ({name, version: 1, adapters: []}));
		const seen: string[] = [];
		let revision = 1;
		const change = (registration: Registration, hasEnded = false): void => {
			revision += 1;
			book.update({
				origin: 'r', revision, isWhole: false, targets: [{registration, ageMs: 0, hasEnded}],
			});
			const choices = ['m1', 'm2'].map(model => book.choose({...need, model})).map(choice => choice.kind === 'target' ? choice.targetId : choice.kind);
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

	// Guards against an entry host that looks at every engine of the fleet for each request and, while requests wait, for each of them at each change.
	it('looks only at the targets that hold the model', () => {
		const count = (targets: number): number => {
			let reads = 0;
			const {book} = createBook(Array.from({length: targets}, (_, i) => new Proxy(register(`t${i}`, {models: [{name: `m${i % (targets / 4)}`, version: 1, adapters: []}]}), {
				get(registration, name: keyof Registration) {
					reads += 1;
					return registration[name];
				},
			})));
			book.choose({...need, model: 'm1'});
			reads = 0;
			book.choose({...need, model: 'm1'});
			return reads;
		};

		expect({of8: count(8), of80: count(80)}).toMatchSnapshot();
	});

	// Guards against a host that reads the names of all adapters in use out of texts at each poll.
	it('tells the adapters in use without parsing their names', () => {
		const {book} = createBook(['t1', 't2'].map(id => register(id, {models: [{name: 'm', version: 1, adapters: ['a', 'b']}]})));
		const take = (targetId: string, adapter: string): (() => void) => {
			const place = book.acquireSlot(targetId, {...need, model: 'm', adapter});
			return () => {
				place?.release('answered');
			};
		};

		const ends = [take('t1', 'a'), take('t1', 'a'), take('t2', 'b')];
		const {parse} = JSON;
		let parsed = 0;
		JSON.parse = (text: string) => {
			parsed += 1;
			return parse(text) as unknown;
		};

		try {
			const before = book.getAdapterUses();
			ends[0]?.();
			ends[2]?.();
			expect({parsed, before, after: book.getAdapterUses()}).toMatchSnapshot();
		} finally {
			JSON.parse = parse;
		}
	});
});
