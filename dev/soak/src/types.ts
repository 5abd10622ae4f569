/** Kind of a caller's request and the route that it takes. */
export type RequestKind = 'draft' | 'caption' | 'lookup' | 'order';

/** One request of a caller, as the caller saw it. */
export type CallRecord = {
	readonly attemptId: string;
	readonly kind: RequestKind;
	/** Index of the entry host. */
	readonly host: number;
	/** Whether the connection had carried a request before. */
	readonly isKept: boolean;
	/** Times of the first and of the last byte; the last is infinite for a body that was not sent in whole. */
	readonly sentMs: number;
	bodySentMs: number;
	readonly timeLimitMs: number;
	/** Whole answer that a target gives to this request. */
	readonly expectedBody: string;
	status: number;
	body: string;
	isComplete: boolean;
	endedMs: number;
	error?: string;
};

/** A step of the run, with the time at which it was carried out. */
export type StepRecord = {readonly kind: 'stop' | 'second-signal' | 'exit' | 'start' | 'reload' | 'configure' | 'leave' | 'kill-control' | 'freeze-control'; readonly host: number; readonly atMs: number};

/** Something that callers must not see. */
export type Violation = {readonly rule: 'lost' | 'refused-but-run' | 'run-twice' | 'mixed'; readonly call: CallRecord; readonly detail: string};
