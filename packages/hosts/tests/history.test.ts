import {expect} from 'chai';
import {type FleetCommand, FleetState} from '../src/index.js';
import {checkHistory, recordHistory} from './support/history.js';

const SEEDS = Array.from({length: 200}, (_, i) => i + 1);
const SEEDS_PER_TEST = 20;

/** Gives every command a new request id and base version, so that a resent change is applied again. */
class DeduplicationBypass extends FleetState {
	private count = 0;

	override encode(command: FleetCommand): Uint8Array {
		this.count += 1;
		const {version} = this.getConfig();
		return super.encode(command.kind === 'apply' ? {...command, requestId: `${command.requestId} ${this.count}`, follows: version} : command);
	}
}

/** Runs the seeds until a history violates a guarantee. */
async function findViolations(opts: {fault?: 'lying-sync'; createState?: () => FleetState}): Promise<readonly string[]> {
	for (const seed of SEEDS) {
		const violations = checkHistory(await recordHistory({...opts, seed}));
		if (violations.length > 0) {
			return violations;
		}
	}

	return [];
}

describe('histories of concurrent operators under crashes, wipes, pauses, partitions and full disks', () => {
	for (let first = 0; first < SEEDS.length; first += SEEDS_PER_TEST) {
		const seeds = SEEDS.slice(first, first + SEEDS_PER_TEST);
		it(`lose, revert or repeat no change and permit no request twice with the seeds ${seeds.at(0)} to ${seeds.at(-1)}`, async () => {
			const totals = {
				accepted: 0, conflict: 0, read: 0, new: 0, other: 0,
			};
			for (const seed of seeds) {
				const history = await recordHistory({seed});
				expect(checkHistory(history), `seed ${seed}`).to.deep.equal([]);
				for (const {kind} of history.observations) {
					totals[kind] += 1;
				}
			}

			expect(totals).toMatchSnapshot();
		});
	}

	it('are reported as lost if disks acknowledge syncs without performing them', async () => {
		const [violation] = await findViolations({fault: 'lying-sync'});
		expect(violation).to.match(/is lost|saw version/v);
	});

	it('are reported as applied twice if members do not deduplicate request ids', async () => {
		const violations = await findViolations({createState: () => new DeduplicationBypass()});
		expect(violations.join('\n')).to.match(/was applied twice/v);
	});
});
