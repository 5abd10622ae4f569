import type {
	BodyFraming, Clock, Random, SendFailure, Verdict,
} from '@egretrill/common';
import type {Result} from 'true-myth';
import type {RetryBudget} from '../retry-budget.js';
import type {ForwardDialect} from './forward-dialect.js';
import type {TargetSlot, SlotQueue} from './slot-queue.js';
import type {RateDecision, RateAllocations} from './rate-allocations.js';
import type {RouteTable} from './route-table.js';
import type {ForwardCall} from './types.js';
import type {RetrySchedule} from './wait-forecast.js';

/** A target's answer whose body is still to be read. */
export type TargetAnswer = {
	readonly status: number;
	readonly rawHeaders: readonly string[];
	readonly body: AsyncIterable<Uint8Array>;
	/** By what the end of the body is recognised. */
	readonly framing: BodyFraming;
	/** Whether the body arrived to its end; meaningful once it has been read. */
	readonly isComplete: () => boolean;
	/** Reads and drops the body of a short answer, so that the connection can be kept. */
	readonly discard: () => void;
	/** Closes the connection, which ends the target's work. */
	readonly destroy: () => void;
};

/** A request as it is written to a target. */
export type OutgoingMessage = {
	readonly address: string;
	readonly method: string;
	readonly url: string;
	readonly headers: string[];
	readonly body: Uint8Array;
	readonly mayReuse: boolean;
};

/** Writes requests to targets; it never retries. */
export abstract class ForwardSender {
	abstract send(message: OutgoingMessage, signal: AbortSignal): Promise<Result<TargetAnswer, SendFailure>>;
}

/** How one attempt at a target ended. */
export type AttemptEvent = {readonly call: ForwardCall; readonly slot: TargetSlot; readonly attempt: number; readonly outcome: string; readonly tookMs: number; readonly reason?: string};

/** How a request ended, for logs, metrics and demand. */
export type ForwardEndEvent = {
	readonly call?: ForwardCall;
	readonly route?: string;
	readonly customer?: string;
	readonly configVersion?: number;
	readonly outcome: 'answered' | 'broken' | 'left' | Verdict;
	readonly status?: number;
	/** By what the end of a body that was passed on whole was recognised, and its bytes. */
	readonly bodyEnd?: BodyFraming;
	readonly bodyBytes?: number;
	/** Time within which the route's answers count as in time. */
	readonly targetLatencyMs?: number;
	readonly targetId?: string;
	/** Requests that the target had when it was chosen. */
	readonly outstanding?: number;
	readonly attempts: number;
	readonly waitMs: number;
	readonly tookMs: number;
	/** Time to the first piece of a stream, and the longest pause between two. */
	readonly firstMs?: number;
	readonly longestPauseMs?: number;
};

/** Takes what happens to forwarded requests. */
export abstract class ForwardObserver {
	/** Notes a request that its customer's rate allows, before it is placed. */
	abstract recordArrival(service: string, call: ForwardCall): void;
	abstract recordAttempt(note: AttemptEvent): void;
	abstract recordEnd(note: ForwardEndEvent): void;
}

/** Lends from the pool of a customer's rate. */
export abstract class RatePoolClient {
	/** Undefined when the owner cannot be reached. */
	abstract borrow(name: string, cost: number): Promise<RateDecision | undefined>;
}

/** Everything that the forwarding of one request uses. */
export type ForwardDependencies = {
	readonly clock: Clock;
	readonly random: Random;
	readonly dialect: ForwardDialect;
	readonly queue: SlotQueue;
	readonly rates: RateAllocations;
	readonly poolClient: RatePoolClient;
	/** When callers beyond a rate are told to return, by customer. */
	readonly retrySchedule: RetrySchedule;
	readonly sender: ForwardSender;
	readonly observer: ForwardObserver;
	readonly getTable: () => RouteTable | undefined;
	/** Aborts when this host stops and begun requests must end. */
	readonly stopping: AbortSignal;
	/** Retries of the requests of one service. */
	readonly getRetries: (service: string) => RetryBudget;
};
