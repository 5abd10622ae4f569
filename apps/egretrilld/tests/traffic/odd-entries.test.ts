import {type Codec, ManualClock, type Registration} from '@egretrill/common';
import {
	MAX_TARGETS, type RegisteredTarget, type RegistryUpdate, TargetRegistry, TargetTable,
} from '@egretrill/engines';
import {PEER_UNRESPONSIVE_MS} from '@egretrill/hosts';
import {expect} from 'chai';
import fc from 'fast-check';
import {gossipMethod, syncMethod} from '../../src/traffic/index.js';

const SEED = 12;
/** Entries of a large fleet; below the limit of entries in one update. */
const MANY_ENTRIES = 8000;

function register(changes: Partial<Registration> = {}): Registration {
	return {
		targetId: 't1', startedAtMs: 1000, sequence: 1, service: 's', address: '127.0.0.1:9000', zone: 'z', slots: 8, isLeaving: false, coldForMs: 0, models: [{name: 'm1', version: 1, adapters: ['a1']}], inMemory: ['m1'], onDisk: [], ...changes,
	};
}

function list(registration: Registration): RegisteredTarget {
	return {registration, ageMs: 0, hasEnded: false};
}

const odd = register({targetId: 'odd', address: '127.0.0.1:99999'});
const first = list(register({targetId: 'first', address: '127.0.0.1:9001'}));
const second = list(register({targetId: 'second', address: '127.0.0.1:9002'}));

/** Values that another writer may leave in any field of an entry. */
const oddValues: readonly unknown[] = [
	undefined,
	null,
	true,
	'',
	'x',
	[],
	{},
	[null],
	[{}],
	['x'],
	-1,
	0,
	0.5,
	1e308,
	-1e308,
	Number.NaN,
	Infinity,
	2 ** 53,
	99_999,
	'x'.repeat(100_000),
	'a\r\nb',
	'127.0.0.1:99999',
	'127.0.0.1:0',
	'127.0.0.1',
	'0.0.0.0:80',
	[{name: 'm', version: 0.5, adapters: []}],
	Array.from({length: 20_000}, () => 'x'),
	Array.from({length: 2000}, () => ({})),
];

function createUpdate(targets: readonly unknown[], changes: Partial<RegistryUpdate> = {}): RegistryUpdate {
	return {
		origin: 'o', revision: 1, isWhole: true, ...changes, targets: targets as RegisteredTarget[],
	};
}

/** The update as a reader of each list receives it. */
const readers: Readonly<Record<string, (update: RegistryUpdate) => RegistryUpdate>> = {
	sync(update) {
		return pass(syncMethod.res, {controls: [], zonesOut: [], registry: update}).registry;
	},
	gossip(update) {
		return pass(gossipMethod.res, {registry: update, zone: 'z', memberIds: []}).registry;
	},
};

function pass<T>(codec: Codec<T>, value: T): T {
	return codec.decode(codec.encode(value));
}

function createTable(): TargetTable {
	return new TargetTable({
		clock: new ManualClock(), random: () => 0, zone: 'z', getColdRate: () => 0, getBatchSlots: () => undefined,
	});
}

/** Targets in the order in which a table assigns requests. */
function listTargets(table: TargetTable): readonly string[] {
	const ids: string[] = [];
	for (;;) {
		const choice = table.choose({service: 's', parts: [], tried: new Set(ids)});
		if (choice.kind !== 'target') {
			return ids;
		}

		ids.push(choice.targetId);
	}
}

describe('lists of registrations with odd entries', () => {
	for (const [name, read] of Object.entries(readers)) {
		// Guards against an entry that an older build passes on and that ends the exchange with that host, because it makes the whole answer invalid.
		it(`keeps the other entries in their order and names the skipped one (${name})`, () => {
			expect(read(createUpdate([first, list(odd), second]))).to.deep.equal({...createUpdate([first, second]), skippedIds: ['odd']});
			expect(read(createUpdate([first, null, second]))).to.deep.equal({...createUpdate([first, second]), skippedIds: ['']});
			expect(read(createUpdate([first, second]))).to.deep.equal(createUpdate([first, second]));
		});

		// Guards against a reader that refuses the list because of any neighbour of a good entry.
		it(`keeps the good entries beside any neighbour of one (${name})`, () => {
			const fields = Object.keys(odd);
			fc.assert(fc.property(fc.subarray(fields, {minLength: 1, maxLength: 2}), fc.array(fc.constantFrom(...oddValues), {minLength: 3, maxLength: 3}), fc.boolean(), (names, values, hasOddAge) => {
				const changes = Object.fromEntries(names.map((field, i) => [field, values[i]]));
				const entry = {...list({...register({targetId: 'neighbour'}), ...changes}), ...(hasOddAge && {ageMs: values[2]})};
				const update = read(createUpdate([first, entry, second]));
				expect(update.targets.filter(({registration: {targetId}}) => targetId === 'first' || targetId === 'second')).to.deep.equal([first, second]);
				const table = createTable();
				table.update(update);
				expect(listTargets(table)).to.include.members(['first', 'second']);
				const registry = new TargetRegistry(new ManualClock(), 'r');
				registry.merge(update.targets);
				expect(registry.getLive().map(({targetId}) => targetId)).to.include.members(['first', 'second']);
			}), {seed: SEED, numRuns: 300});
		});

		// Guards against one entry of an older build, which had no bounds, that makes the whole message exceed its number of values.
		it(`skips an entry with very many values (${name})`, () => {
			const large = list(register({targetId: 'large', models: [{name: 'm1', version: 1, adapters: Array.from({length: 600_000}, () => 'a')}]}));
			expect(read(createUpdate([first, large, second, large]))).to.deep.equal({...createUpdate([first, second]), skippedIds: ['', '']});
		});

		// Guards against a full registry that no reader accepts.
		it(`reads the update of a full registry (${name})`, () => {
			const registry = new TargetRegistry(new ManualClock(), 'r');
			for (let number = 0; number < MAX_TARGETS; number++) {
				registry.accept(register({targetId: `t${number}`, address: `10.0.${Math.floor(number / 250)}.${number % 250}:80`}));
			}

			const {targets} = registry.getUpdateSince({origin: '', revision: 0}, true);
			const startMs = performance.now();
			expect(read(createUpdate(targets)).targets.length).to.equal(targets.length);
			expect(performance.now() - startMs).to.be.below(PEER_UNRESPONSIVE_MS);
		});

		// Guards against a list of invalid entries that blocks the process until other hosts consider it unresponsive.
		it(`reads a list of invalid entries in bounded time (${name})`, () => {
			for (const entry of [{}, 0, {registration: {targetId: 'x', models: [{}, {}]}}]) {
				const startMs = performance.now();
				const {targets, skippedIds} = read(createUpdate(Array.from({length: MANY_ENTRIES}, () => entry)));
				expect({targets: targets.length, skipped: skippedIds?.length}).to.deep.equal({targets: 0, skipped: MANY_ENTRIES});
				expect(performance.now() - startMs).to.be.below(PEER_UNRESPONSIVE_MS);
			}
		});
	}
});

describe('TargetTable with skipped entries', () => {
	// Guards against a target that is used forever because each later entry about it is invalid.
	it('removes the targets whose entries were skipped', () => {
		for (const isWhole of [true, false]) {
			const table = createTable();
			table.update(createUpdate([first, list(register({targetId: 'odd', address: '127.0.0.1:9003'})), second]));
			table.update(createUpdate(isWhole ? [first, second] : [], {revision: 2, isWhole, skippedIds: ['odd', '']}));
			expect(listTargets(table)).to.deep.equal(['first', 'second']);
		}
	});
});
