import type {TrafficCustomer, TrafficRoute} from '@egretrill/common';
import type {RankedKey} from '../crashes/index.js';
import type {StopEstimate, StopRefusal} from './stops/stop-refusal.js';
import type {CallerExchange} from './caller-exchange.js';
import type {ForwardDependencies} from './forward-dependencies.js';
import type {RateSource} from './rates/spend-rate.js';
import type {EventOrder} from './streams/event-order.js';
import type {ChunkTimes} from './streams/chunk-times.js';
import type {SlotOutcome} from './waiting/slot-source.js';
import type {RouteTable} from './route-table.js';
import type {AnswerSummary, ForwardCall} from './types.js';

/** An admitted request that is being forwarded to targets. */
export type ForwardContext = {
	readonly deps: ForwardDependencies;
	readonly exchange: CallerExchange;
	readonly call: ForwardCall;
	readonly table: RouteTable;
	readonly route: TrafficRoute;
	readonly service: string;
	readonly customer: TrafficCustomer | undefined;
	/** Where the cost of the request was charged; absent without a customer. */
	readonly rateSource?: RateSource;
	readonly body: Uint8Array;
	readonly endsMs: number;
	/** Aborts when the caller disconnects, the request times out or this host stops. */
	readonly signal: AbortSignal;
	readonly progress: ForwardProgress;
};

/** State of a request across its attempts. */
export type ForwardProgress = {
	readonly tried: Set<string>;
	attempts: number;
	/** Whether a target has begun to run the request. */
	hasBegun?: boolean;
	mayHaveRun: boolean;
	waitMs: number;
	lastEventId: number | undefined;
	/** The events that have been relayed; absent unless the answer is an event stream. */
	eventOrder?: EventOrder;
	/** Body bytes relayed from all targets. */
	relayedBytes: number;
	readonly chunkTimes: ChunkTimes;
	/** Keys of the request's shared parts, and those with the whole request; set when they are first needed. */
	partKeys?: readonly RankedKey[];
	allKeys?: readonly RankedKey[];
	/** Time of the first attempt. */
	sentMs?: number;
	/** Whether the request was complete only when the balancer sent no new connections any more, during a planned stop. */
	isLateArrival?: boolean;
	/** Set when the request is refused or not sent again because this host stops. */
	stopRefusal?: StopRefusal;
	/** Set when the request is served although this host stops: what was expected of it at first and last. */
	stopArrival?: StopEstimate;
	stopEstimate?: StopEstimate;
	/** Whether the end of a planned stop ended the request. */
	wasCutByStop?: boolean;
	targetId?: string;
	outstanding?: number;
	status?: number;
	/** Set once an answer has been relayed completely. */
	answerSummary?: AnswerSummary;
};

/** Why an attempt at one target brought no complete answer. */
export type AttemptFailure =
	/** The target certainly did not run the request. */
	| {readonly kind: 'not-run'; readonly reason: string; readonly slotOutcome: SlotOutcome}
	/** The target may have run the request, and no complete answer was received. */
	| {readonly kind: 'broken'; readonly reason: string; readonly slotOutcome: SlotOutcome; /** Whether the connection ended before the answer was complete. */ readonly lostConnection?: true};

/** How an attempt at one target ended. */
export type AttemptOutcome = {readonly kind: 'answered'} | AttemptFailure;
