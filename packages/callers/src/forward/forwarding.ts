import type {TrafficCustomer, TrafficRoute} from '@egretrill/common';
import type {CallerExchange} from './caller-exchange.js';
import type {ForwardParts} from './forward-parts.js';
import type {PieceTimes} from './piece-times.js';
import type {PlaceEnd} from './place-queue.js';
import type {RouteTable} from './route-table.js';
import type {AnswerEnd, ForwardCall} from './types.js';

/** A request that the configuration allows, on its way to targets. */
export type Forwarding = {
	readonly parts: ForwardParts;
	readonly exchange: CallerExchange;
	readonly call: ForwardCall;
	readonly table: RouteTable;
	readonly route: TrafficRoute;
	readonly service: string;
	readonly customer: TrafficCustomer | undefined;
	readonly body: Uint8Array;
	readonly endsMs: number;
	/** Aborts when the caller has left or the time is over. */
	readonly signal: AbortSignal;
	readonly progress: Progress;
};

/** What has happened to a request so far. */
export type Progress = {
	readonly tried: Set<string>;
	attempts: number;
	mayHaveRun: boolean;
	waitMs: number;
	lastEventId: number | undefined;
	readonly pieces: PieceTimes;
	targetId?: string;
	outstanding?: number;
	status?: number;
	/** Known once an answer has been passed on whole. */
	answerEnd?: AnswerEnd;
};

/** How an attempt at one target ended. */
export type Outcome =
	| {readonly kind: 'answered'}
	/** The target certainly did not run the request. */
	| {readonly kind: 'not-run'; readonly reason: string; readonly targetEnd: PlaceEnd}
	/** The target may have run it and no whole answer came. */
	| {readonly kind: 'broken'; readonly reason: string; readonly targetEnd: PlaceEnd};
