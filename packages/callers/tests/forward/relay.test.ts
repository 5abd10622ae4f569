import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {ManualClock, MemoryBudget, TurnQueue} from '@egretrill/common';
import {expect} from 'chai';
import {type CallerExchange, relayBuffered} from '../../src/forward/index.js';

const BODY_BYTES = 1_000_000;
/** Ten times the memory that a body of this size takes in one buffer. */
const MAX_HELD_MEMORY_BYTES = 20_000_000;

/** Memory in use after a garbage collection. */
function measureMemoryBytes(): number {
	setFlagsFromString('--expose-gc');
	(runInNewContext('gc') as () => void)();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}

describe('relayBuffered', () => {
	// Guards against memory use of a hundred times an answer's size while it is buffered, when a target sends it in single bytes.
	it('buffers small chunks of an answer in little memory', async () => {
		const beforeBytes = measureMemoryBytes();
		let bufferedBytes = 0;
		const body = async function * (): AsyncGenerator<Uint8Array> {
			const content = Buffer.alloc(BODY_BYTES, 'x');
			for (let offset = 0; offset < BODY_BYTES; offset += 1) {
				yield content.subarray(offset, offset + 1);
			}

			bufferedBytes = measureMemoryBytes() - beforeBytes;
		};

		const seen: number[] = [];
		const exchange = {
			hasStarted: () => false,
			start(status: number, _headers: readonly string[], length?: number) {
				seen.push(status, length ?? -1);
			},
			async write(bytes: Uint8Array) {
				seen.push(bytes.length);
			},
			end: () => undefined,
		} as unknown as CallerExchange;
		const end = await relayBuffered({
			exchange,
			turns: new TurnQueue(),
			holding: new MemoryBudget(new ManualClock(), Number.POSITIVE_INFINITY).open({onEvicted: () => undefined}),
			answer: {
				status: 200, rawHeaders: [], body: body(), framing: 'chunks', isConnectionReused: false, isComplete: () => true, discard: () => undefined, destroy: () => undefined,
			},
			headers: [],
		});
		expect({end, seen, isSmall: bufferedBytes < MAX_HELD_MEMORY_BYTES}).toMatchSnapshot();
	}).timeout(60_000);
});
