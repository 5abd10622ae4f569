/** Value of `previous` in the first record of a chain. */
export const GENESIS_HASH = '0'.repeat(64);

/** Records between two entries of the page index; reading a page skips at most this many records. */
export const PAGE_INDEX_STEP = 256;

export const DEFAULT_PAGE_SIZE = 100;
export const MAX_PAGE_SIZE = 1000;

/** Fixed length of the head file. It is below one disk sector, so a crash while it is overwritten in place leaves either the old or the new head. */
export const HEAD_FILE_BYTES = 256;

/** Text of each promise, and which checks are counted for it. */
export const PROMISES = {
	P1: ['Accelerator memory is never overcommitted, including during a change.', 'contents that targets report, checked against their memory'],
	P2: ['Every model stays reachable.', 'models checked for a copy or a target that can load them'],
	P3: ['A request runs only for the customer whose key came with it; a withdrawn key stops working within seconds.', 'requests checked for their key immediately before the write'],
	P4: ['No customer gets more than its rate and burst across all hosts together.', 'customer buckets checked after each grant: what is free and lent fits the burst'],
	P5: ['A target in cold start gets no more load than it can sustain.', 'requests to cold targets checked against their permits'],
	P6: ['A zone taken out of service gets no new work after a few seconds.', 'requests checked for the state of the target zone before the write'],
	P7: ['Every caller gets the whole answer to its own request.', 'answers checked for request id, order and end'],
	P8: ['A refusal that says "not run" is true.', 'refusals checked against what left the host'],
	P9: ['A non-idempotent request runs at most once.', 'writes of non-idempotent requests checked against earlier writes of the same request'],
	P10: ['A leaving target gets no new work after a few seconds.', 'requests checked for the state of the target before the write'],
	P11: ['Every planned stop interrupts no request.', 'planned stops checked for work left behind'],
	P12: ['An accepted configuration is in force everywhere within seconds and never reverts.', 'versions checked against the version served before'],
} as const;
