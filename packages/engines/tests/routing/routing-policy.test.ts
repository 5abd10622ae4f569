import {createRandom, ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {
	type CandidateSet, CostRouting, createBlockHasher, PrefixCacheEstimate, RoundRobinRouting, type RoutingPolicy, type RoutingRequest, TargetDirectory, TwoChoicesRouting, type ZoneConditions,
} from '../../src/routing/index.js';
import {
	announce, announceWarm, query, request,
} from './helpers.js';

const seed = 11;

function createDirectory(...announcements: ReadonlyArray<ReturnType<typeof announce>>): TargetDirectory {
	const directory = new TargetDirectory({clock: new ManualClock(), epoch: 'e1'});
	announceWarm(directory, ...announcements);
	return directory;
}

/** Counts how often each target is chosen for the same candidates. */
function countChoices(policy: RoutingPolicy, set: CandidateSet, rounds: number, req: RoutingRequest = request): Record<string, number> {
	const random = createRandom(seed);
	const counts: Record<string, number> = {};
	for (let round = 0; round < rounds; round++) {
		const {targetId} = policy.choose(set, req, random).unwrapOr({targetId: 'refused'});
		counts[targetId] = (counts[targetId] ?? 0) + 1;
	}

	return Object.fromEntries(Object.entries(counts).toSorted(([first], [second]) => first < second ? -1 : 1));
}

describe('RoutingPolicy', () => {
	it('distinguishes refusals: unknown model, no target available, every copy cold or full', () => {
		const full = announce('t1', {load: {running: 16, waiting: 16}});
		const directory = createDirectory(full, announce('t2', {leaving: true}), announce('t3', {zone: 'b', resident: [{model: 'm3', version: 'v1', adapters: []}]}));
		directory.recordAnnouncement(announce('t4', {cold: true}));
		const policy = new CostRouting();
		const choose = (req: Partial<RoutingRequest>, zoneStates: ZoneConditions = query.zoneStates): unknown => {
			const {model, service} = {model: 'm1', service: undefined, ...req};
			const set = directory.getCandidates({
				...query, zoneStates, model, service, adapter: req.adapter,
			});
			const result = policy.choose(set, {...request, ...req}, createRandom(seed));
			return result.isErr ? result.error : {chosen: result.value.targetId, needsPermit: result.value.needsPermit};
		};

		expect({
			unknown: choose({model: 'm9', known: false}),
			noCopy: choose({model: 'm2'}),
			zoneOut: choose({model: 'm3'}, {...query.zoneStates, b: {state: 'taken-out'}}),
			adapterNowhere: choose({adapter: 'lora-2'}),
			coldCopy: choose({}),
			everyCopyColdOrFull: choose({excluded: [{targetId: 't4', reason: 'permit-denied'}]}),
			unknownService: choose({model: undefined, service: 'orders', known: false}),
		}).toMatchSnapshot();
	});

	it('uses a suspected target only if there is no other copy', () => {
		const directory = createDirectory(announce('t1'), announce('t2', {load: {running: 12}}));
		directory.recordConnectFailure('t1', 't1-s1');
		const set = directory.getCandidates(query);
		expect({
			both: countChoices(new CostRouting(), set, 20),
			last: countChoices(new CostRouting(), set, 20, {...request, excluded: [{targetId: 't2', reason: 'tried'}]}),
		}).to.deep.equal({both: {t2: 20}, last: {t1: 20}});
	});

	it('ramps up the share of requests to a returning zone under every policy', () => {
		const directory = createDirectory(announce('t1', {zone: 'b'}), announce('t2', {zone: 'c'}), announce('t3', {zone: 'c'}));
		const shares = [0, 2500, 10_000].map(sinceMs => {
			const set = directory.getCandidates({...query, zoneStates: {...query.zoneStates, c: {state: 'returning', sinceMs, distanceMs: 1}}});
			return [new CostRouting(), new TwoChoicesRouting(), new RoundRobinRouting()].map(policy => countChoices(policy, set, 1000));
		});
		expect(shares).toMatchSnapshot();
	});

	it('logs the reason and a limited number of the best scores of a choice among 148 targets', () => {
		const loads = Array.from({length: 148}, (_, index) => announce(`t${index}`, {load: {running: (index * 7) % 16}, zone: index % 2 === 0 ? 'a' : 'b'}));
		const choice = new CostRouting().choose(createDirectory(...loads).getCandidates(query), {...request, prompt: 'x'.repeat(1000)}, createRandom(seed));
		expect(choice.unwrapOr(undefined)).toMatchSnapshot();
	});
});

describe('CostRouting', () => {
	it('weighs queue, cached prefix, adapter, zone, cold state and cache pressure', async () => {
		const clock = new ManualClock();
		const estimate = new PrefixCacheEstimate({clock, hash: await createBlockHasher()});
		const prompt = 'p'.repeat(6400);
		estimate.recordCompleted('cached', 'cached-s1', estimate.getBlocks('m1', undefined, prompt));
		const chosen = (first: ReturnType<typeof announce>, second: ReturnType<typeof announce>, adapter?: string): Record<string, number> => {
			const set = createDirectory(first, second).getCandidates({...query, ...(adapter && {adapter})});
			return countChoices(new CostRouting(estimate), set, 50, {
				...request, prompt, adapter, canLoadAdapter: true,
			});
		};

		expect({
			queue: chosen(announce('queued', {load: {running: 16, waiting: 4}}), announce('free')),
			prefix: chosen(announce('cached', {load: {running: 6}}), announce('other')),
			prefixBehindQueue: chosen(announce('cached', {load: {running: 16, waiting: 8}}), announce('other')),
			adapter: chosen(announce('adapter', {load: {running: 0}}), announce('bare', {resident: [{model: 'm1', version: 'v1', adapters: []}], load: {running: 4}}), 'lora-1'),
			zone: chosen(announce('near'), announce('far', {zone: 'b'})),
			cold: chosen(announce('cold', {cold: true}), announce('busy', {load: {running: 14}})),
			pressure: chosen(announce('pressed', {load: {kvUsedRatio: 0.97}}), announce('roomy', {load: {running: 8}})),
		}).toMatchSnapshot();
	});

	it('spreads the choices of eight hosts that use one stale report, instead of overloading the best target', () => {
		const directories = Array.from({length: 8}, () => createDirectory(...Array.from({length: 13}, (_, index) => announce(`t${index}`, {load: {running: index === 5 ? 3 : 4}}))));
		const policy = new CostRouting();
		const random = createRandom(seed);
		const counts: Record<string, number> = {};
		for (let round = 0; round < 13; round++) {
			for (const directory of directories) {
				const {targetId, startId} = policy.choose(directory.getCandidates(query), request, random).unwrapOr({targetId: 'refused', startId: ''});
				directory.startRequest(targetId, startId);
				counts[targetId] = (counts[targetId] ?? 0) + 1;
			}
		}

		// All requests fit into the free slots, so no target may exceed its limit of 16.
		const loads = Object.entries(counts).map(([targetId, count]) => count + (targetId === 't5' ? 3 : 4));
		expect(Math.max(...loads)).to.be.at.most(16);
		expect(counts).toMatchSnapshot();
	});
});
