import {expect} from 'chai';
import {type CrashOutcome, type CrashScenario, SimulatedCrashes} from './support/simulated-crashes.js';

const SEEDS = Array.from({length: 8}, (_, i) => i + 1);
/** Bounds as the users state them: by this time after the fifth end, all but three requests are kept from the targets. */
const CONTACT_MS = 3000;
const COUNTED_ENDS = 5;
const MAX_LATE_SENDS = 3;
const MIN_SERVED_SHARE = 0.5;

const base: Omit<CrashScenario, 'seed'> = {
	durationMs: 40_000, requestsPerSecond: 60, harmfulShare: 0.05, harmfulFromMs: 5000,
};

const cases: Readonly<Record<string, Omit<CrashScenario, 'seed'>>> = {
	'one part': base,
	'one rare part': {...base, harmfulShare: 0.01},
	'one frequent part': {...base, harmfulShare: 0.2},
	'a whole subject': {...base, isSubjectHarmful: true},
	'one part in requests that come again': {...base, repeats: 3},
	'one request that comes again': {...base, harmfulShare: 0.02, isRequestHarmful: true},
	'one part beside other ends': {...base, otherEndsPerSecond: 0.5},
	'one part, polls that are lost': {...base, lossShare: 0.3},
	'one part, a new leader': {...base, newLeaderAtMs: 12_000},
	'one part in a large fleet': {
		...base, durationMs: 30_000, requestsPerSecond: 200, hosts: 80, targets: 126, pollMs: 500,
	},
	'one part, few hosts and targets': {...base, hosts: 2, targets: 4},
};

function countLateSends({endsMs, harmfulSendsMs}: CrashOutcome): number {
	const counted = endsMs[COUNTED_ENDS - 1];
	return counted === undefined ? 0 : harmfulSendsMs.filter(atMs => atMs > counted + CONTACT_MS).length;
}

/** Share of the sound requests that are served from twice the contact time after the fifth end on. */
function getServedShare({endsMs, sound}: CrashOutcome): number {
	const counted = endsMs[COUNTED_ENDS - 1] ?? endsMs.at(-1) ?? 0;
	const later = sound.filter(({arrivedMs}) => arrivedMs > counted + (2 * CONTACT_MS));
	return later.filter(({end}) => end === 'served').length / later.length;
}

/** Requests that may be denied although they are proper, as the users state it. */
function getAllowedDenials({sound}: CrashOutcome): number {
	return 5 + (sound.length / 500);
}

function countDenied({sound}: CrashOutcome): number {
	return sound.filter(({end}) => end === 'denied').length;
}

async function runSeeds(scenario: Omit<CrashScenario, 'seed'>): Promise<readonly CrashOutcome[]> {
	return Promise.all(SEEDS.map(async seed => new SimulatedCrashes({...scenario, seed}).run()));
}

describe('evidence on what ends targets', () => {
	for (const [name, scenario] of Object.entries(cases)) {
		// Guards against requests that go on ending targets, and against sound ones that are refused beside them.
		it(`keeps harmful requests from the targets and serves sound ones: ${name}`, async () => {
			const outcomes = await runSeeds(scenario);
			const failures = outcomes.flatMap((outcome, i) => {
				const seed = SEEDS[i];
				const [lateSends, servedShare, denied] = [countLateSends(outcome), getServedShare(outcome), countDenied(outcome)];
				return lateSends <= MAX_LATE_SENDS && servedShare >= MIN_SERVED_SHARE && denied <= getAllowedDenials(outcome)
					? []
					: [{
						seed, lateSends, servedShare, denied,
					}];
			});
			expect(failures).to.deep.equal([]);
		});
	}

	// Guards against sound requests that are refused for good because targets end for other reasons.
	it('denies nothing when targets end for other reasons', async () => {
		const outcomes = await runSeeds({...base, harmfulShare: 0, otherEndsPerSecond: 1});
		expect(outcomes.every(outcome => countDenied(outcome) <= getAllowedDenials(outcome))).to.equal(true);
	});

	// Guards against a block that outlives its cause.
	it('serves a part again once targets survive it', async () => {
		const outcomes = await runSeeds({...base, durationMs: 120_000, mendedAtMs: 30_000});
		expect(outcomes.every(({servedHarmfulMs}) => servedHarmfulMs.length > 0)).to.equal(true);
	});
});
