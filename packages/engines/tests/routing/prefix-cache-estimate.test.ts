import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {
	type BlockHasher, createBlockHasher, MAX_CACHED_BLOCKS, MAX_CACHED_BLOCKS_PER_TARGET, PrefixCacheEstimate,
} from '../../src/routing/index.js';

describe('PrefixCacheEstimate', () => {
	let hash: BlockHasher;
	const clock = new ManualClock();

	before(async () => {
		hash = await createBlockHasher();
	});

	function createEvents(prompt: string, firstSeq: number, op: 'stored' | 'removed' = 'stored') {
		return {firstSeq, events: hash('m1', undefined, prompt).map(blockHash => ({op, model: 'm1', hash: blockHash}))};
	}

	it('chains block hashes, so that equal blocks after different prefixes, models or adapters differ', () => {
		const tail = 'z'.repeat(64);
		expect([
			hash('m1', undefined, 'a'.repeat(64) + tail),
			hash('m1', undefined, 'b'.repeat(64) + tail),
			hash('m2', undefined, 'a'.repeat(64) + tail),
			hash('m1', 'lora-1', 'a'.repeat(64) + tail),
			hash('m1', undefined, 'a'.repeat(63)),
		]).toMatchSnapshot();
	});

	it('halves a hit every 60 s and discards everything on a new start id', () => {
		const estimate = new PrefixCacheEstimate({clock, hash});
		const prompt = 'a'.repeat(640);
		const blocks = estimate.getBlocks('m1', undefined, prompt);
		const hits: number[] = [];
		const recordHit = (startId: string): void => {
			hits.push(Math.round(estimate.getHitLength('t1', startId, blocks)));
		};

		estimate.recordEvents('t1', 's1', createEvents(prompt, 0));
		recordHit('s1');
		clock.advance(60_000);
		recordHit('s1');
		recordHit('s2');
		estimate.recordCompleted('t1', 's2', blocks.slice(0, 3));
		recordHit('s2');
		recordHit('s1');
		expect(hits).to.deep.equal([640, 320, 0, 192, 0]);
	});

	it('counts only the contiguous prefix after a removal', () => {
		const estimate = new PrefixCacheEstimate({clock, hash});
		const prompt = 'a'.repeat(640);
		estimate.recordEvents('t1', 's1', createEvents(prompt, 0));
		const {events} = createEvents(prompt, 0, 'removed');
		estimate.recordEvents('t1', 's1', {firstSeq: 10, events: events.slice(4, 5)});
		expect(estimate.getHitLength('t1', 's1', hash('m1', undefined, prompt))).to.equal(256);
	});

	it('reduces the confidence in blocks stored before missing events, not in those after, and ignores repeated events', () => {
		const estimate = new PrefixCacheEstimate({clock, hash});
		const [first, second] = ['a'.repeat(640), 'b'.repeat(640)];
		const hits: unknown[] = [];
		const recordHit = (): void => {
			hits.push([first, second].map(prompt => Math.round(estimate.getHitLength('t1', 's1', hash('m1', undefined, prompt)))));
		};

		estimate.recordEvents('t1', 's1', createEvents(first, 0));
		estimate.recordEvents('t1', 's1', createEvents(first, 0, 'removed'));
		recordHit();
		estimate.recordEvents('t1', 's1', createEvents(second, 15));
		recordHit();
		estimate.recordEvents('t1', 's1', {firstSeq: 9000, events: []});
		recordHit();
		expect(hits).toMatchSnapshot();
	});

	it('limits its memory with many targets and long prompts', () => {
		const estimate = new PrefixCacheEstimate({clock, hash});
		const sizes: number[] = [];
		for (let target = 0; target < 40; target++) {
			const blocks = Array.from({length: 5000}, (_, index) => `${target}-${index}`);
			estimate.recordCompleted(`t${target}`, 's1', blocks);
			sizes.push(estimate.getSize());
		}

		expect(sizes[0]).to.be.at.most(MAX_CACHED_BLOCKS_PER_TARGET);
		expect(Math.max(...sizes)).to.be.at.most(MAX_CACHED_BLOCKS);
	});
});
