import {performance} from 'node:perf_hooks';
import {Announcement, createRandom, ManualClock} from '@egretrill/common';
import {
	type CandidateQuery, CostRouting, createBlockHasher, PrefixCacheEstimate, type RoutingRequest, TargetDirectory,
} from '@egretrill/engines';
import {build} from 'hdr-histogram-js';

/** Engines of one zone at the design size. */
const TARGETS = 148;
const PROMPT_CHARS = 4000;
const WARM_UP_ROUNDS = 2000;
const ROUNDS = 10_000;

const QUERY: CandidateQuery = {model: 'm0', hostZone: 'a', zoneStates: {a: {state: 'in-service', distanceMs: 0}}};

/** Measures the duration of one routing decision at the design size, with every engine a candidate. */
export async function runDecisionBench({seed}: {seed: number}): Promise<Record<string, unknown>> {
	const random = createRandom(seed);
	const clock = new ManualClock();
	const directory = new TargetDirectory({clock, epoch: 'bench'});
	const prefixCache = new PrefixCacheEstimate({clock, hash: await createBlockHasher()});
	const prompt = 'p'.repeat(PROMPT_CHARS);
	for (let index = 0; index < TARGETS; index++) {
		const targetId = `t${index}`;
		directory.recordAnnouncement(Announcement.parse({
			targetId,
			startId: 's1',
			zone: 'a',
			address: '127.0.0.1:1',
			kind: 'engine',
			load: {
				running: Math.floor(random() * 12), waiting: 0, limit: 16, kvUsedRatio: 0.5,
			},
			resident: [{model: 'm0', version: 'v1'}],
		}));
		directory.recordWarmth(targetId, 's1', {generation: 0, warm: true});
		for (let request = 0; request < 2; request++) {
			directory.startRequest(targetId, 's1');
		}

		if (index % 4 === 0) {
			prefixCache.recordCompleted(targetId, 's1', prefixCache.getBlocks('m0', undefined, prompt));
		}
	}

	const policy = new CostRouting(prefixCache);
	const req: RoutingRequest = {
		model: 'm0', known: true, prompt, excluded: [],
	};
	const times = build({lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000, numberOfSignificantValueDigits: 3});
	const candidateTimes = build({lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000, numberOfSignificantValueDigits: 3});
	for (let round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
		const startMs = performance.now();
		const candidates = directory.getCandidates(QUERY);
		const candidatesReadyMs = performance.now();
		policy.choose(candidates, req, random);
		const endMs = performance.now();
		if (round >= WARM_UP_ROUNDS) {
			candidateTimes.recordValue(Math.max(1, Math.round((candidatesReadyMs - startMs) * 1000)));
			times.recordValue(Math.max(1, Math.round((endMs - candidatesReadyMs) * 1000)));
		}
	}

	return {
		seed,
		candidates: TARGETS,
		promptChars: PROMPT_CHARS,
		getCandidatesP50Us: candidateTimes.getValueAtPercentile(50),
		getCandidatesP99Us: candidateTimes.getValueAtPercentile(99),
		chooseP50Us: times.getValueAtPercentile(50),
		chooseP99Us: times.getValueAtPercentile(99),
	};
}
