import {
	createCodec, createRandom, type ManualClock, type Rate,
} from '@egretrill/common';
import {type Result} from 'true-myth';
import {
	BucketOwner, encodeShareAnswer, encodeShareRequest, ShareHolder, ShareTransport, WireShareAnswer, WireShareRequest, type ShareAnswer, type ShareRequest,
} from '@egretrill/callers';

const requestCodec = createCodec(WireShareRequest);
const answerCodec = createCodec(WireShareAnswer);

/** Delays exchanges by 0.5 to 1 ms each way, as between two zones, and counts messages and bytes. */
class CountingTransport extends ShareTransport {
	messages = 0;
	bytes = 0;

	constructor(private readonly clock: ManualClock, private readonly owner: BucketOwner, private readonly random: () => number) {
		super();
	}

	async exchange(_ownerId: string, req: ShareRequest): Promise<Result<ShareAnswer, string>> {
		await this.clock.sleep(0.5 + (0.5 * this.random()));
		const answer = this.owner.grant(req);
		this.messages += 2;
		this.bytes += requestCodec.encode(encodeShareRequest(req)).length + (answer.isOk ? answerCodec.encode(encodeShareAnswer(answer.value)).length : 0);
		await this.clock.sleep(0.5 + (0.5 * this.random()));
		return answer;
	}
}

type ShareHost = {readonly holder: ShareHolder; readonly transport: CountingTransport};

/** Creates one bucket owner and the hosts that get shares from it. */
export function createShareHosts(clock: ManualClock, rates: ReadonlyMap<string, Rate>, hostCount: number, seed: number): readonly ShareHost[] {
	const customers = [...rates].map(([id, rate]) => ({
		id, rate, weight: 1, keyLeaseMs: 4000,
	}));
	const owner = new BucketOwner({
		clock, customers, term: 1, startedAtMs: clock.now(),
	});
	return Array.from({length: hostCount}, (_, i) => {
		const transport = new CountingTransport(clock, owner, createRandom(seed + 100 + i));
		const holder = new ShareHolder({
			clock, transport, customers, random: createRandom(seed + 200 + i), hostId: `host-${i}`, startId: 'start-1', getOwnerId: () => 'leader',
		});
		return {transport, holder};
	});
}
