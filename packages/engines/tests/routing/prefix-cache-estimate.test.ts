import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {
	type BlockHasher, createBlockHasher, MAX_CACHED_BLOCKS, MAX_CACHED_BLOCKS_PER_TARGET, PrefixCacheEstimate,
} from '../../src/routing/index.js';

describe('PrefixBelief', () => {
	let hash: BlockHasher;
	const clock = new ManualClock();

	before(async () => {
		hash = await createBlockHasher();
	});

	function getStored(prompt: string, firstSeq: number, op: 'stored' | 'removed' = 'stored') {
		return {firstSeq, events: hash('m1', undefined, prompt).map(blockHash => ({op, model: 'm1', hash: blockHash}))};
	}

	it('chains block hashes, so that equal blocks behind different prefixes, models or adapters differ', () => {
		const tail = 'z'.repeat(64);
		expect([
			hash('m1', undefined, 'a'.repeat(64) + tail),
			hash('m1', undefined, 'b'.repeat(64) + tail),
			hash('m2', undefined, 'a'.repeat(64) + tail),
			hash('m1', 'lora-1', 'a'.repeat(64) + tail),
			hash('m1', undefined, 'a'.repeat(63)),
		]).toMatchSnapshot();
	});

	it('halves a hit each 60 s and drops everything on a new start id', () => {
		const belief = new PrefixCacheEstimate({clock, hash});
		const prompt = 'a'.repeat(640);
		const blocks = belief.getBlocks('m1', undefined, prompt);
		const seen: number[] = [];
		const note = (startId: string): void => {
			seen.push(Math.round(belief.getHitLength('t1', startId, blocks)));
		};

		belief.recordEvents('t1', 's1', getStored(prompt, 0));
		note('s1');
		clock.advance(60_000);
		note('s1');
		note('s2');
		belief.recordCompleted('t1', 's2', blocks.slice(0, 3));
		note('s2');
		note('s1');
		expect(seen).to.deep.equal([640, 320, 0, 192, 0]);
	});

	it('counts only the unbroken prefix after a removal', () => {
		const belief = new PrefixCacheEstimate({clock, hash});
		const prompt = 'a'.repeat(640);
		belief.recordEvents('t1', 's1', getStored(prompt, 0));
		const {events} = getStored(prompt, 0, 'removed');
		belief.recordEvents('t1', 's1', {firstSeq: 10, events: events.slice(4, 5)});
		expect(belief.getHitLength('t1', 's1', hash('m1', undefined, prompt))).to.equal(256);
	});

	it('trusts blocks from before a gap less, not those after it, and ignores repeated events', () => {
		const belief = new PrefixCacheEstimate({clock, hash});
		const [first, second] = ['a'.repeat(640), 'b'.repeat(640)];
		const seen: unknown[] = [];
		const note = (): void => {
			seen.push([first, second].map(prompt => Math.round(belief.getHitLength('t1', 's1', hash('m1', undefined, prompt)))));
		};

		belief.recordEvents('t1', 's1', getStored(first, 0));
		belief.recordEvents('t1', 's1', getStored(first, 0, 'removed'));
		note();
		belief.recordEvents('t1', 's1', getStored(second, 15));
		note();
		belief.recordEvents('t1', 's1', {firstSeq: 9000, events: []});
		note();
		expect(seen).toMatchSnapshot();
	});

	it('keeps its memory bounded under many targets and long prompts', () => {
		const belief = new PrefixCacheEstimate({clock, hash});
		const sizes: number[] = [];
		for (let target = 0; target < 40; target++) {
			const blocks = Array.from({length: 5000}, (_, index) => `${target}-${index}`);
			belief.recordCompleted(`t${target}`, 's1', blocks);
			sizes.push(belief.getSize());
		}

		expect(sizes[0]).to.be.at.most(MAX_CACHED_BLOCKS_PER_TARGET);
		expect(Math.max(...sizes)).to.be.at.most(MAX_CACHED_BLOCKS);
	});
});
