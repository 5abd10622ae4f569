import type {
	BodyFraming, Clock, MemoryBudget, OutgoingMessage, Random, SendFailure, TargetAnswer, TurnQueue, Verdict,
} from '@egretrill/common';
import type {Result} from 'true-myth';
import type {CrashGate, CrashTracker} from '../crashes/index.js';
import type {RetryBudget} from '../retry-budget.js';
import type {StopEstimate, StopRefusal} from './stops/stop-refusal.js';
import type {ForwardDialect} from './forward-dialect.js';
import type {SlotQueue} from './waiting/slot-queue.js';
import type {TargetSlot} from './waiting/slot-source.js';
import type {KeyLease} from './key-lease.js';
import type {PlannedStop} from './stops/planned-stop.js';
import type {RateDecision, RateAllocations} from './rates/rate-allocations.js';
import type {RouteDurations} from './stops/route-durations.js';
import type {RouteTable} from './route-table.js';
import type {TargetEnd, TargetEnds} from './attempts/target-ends.js';
import type {ForwardCall} from './types.js';
import type {RouteSizes} from './waiting/route-sizes.js';
import type {RetrySchedule} from './waiting/wait-forecast.js';

/** Sends requests to targets, without retries. */
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
	/** `left` if the caller closed the connection, `unread` if this host closed it because the caller did not read. */
	readonly outcome: 'answered' | 'broken' | 'left' | 'unread' | Verdict;
	readonly status?: number;
	/** How the end of a completely relayed body was detected, and its size. */
	readonly bodyEnd?: BodyFraming;
	readonly bodyBytes?: number;
	/** Latency up to which the route's answers count as in time. */
	readonly targetLatencyMs?: number;
	readonly targetId?: string;
	/** Requests outstanding at the target when it was chosen. */
	readonly outstanding?: number;
	readonly attempts: number;
	readonly waitMs: number;
	readonly tookMs: number;
	/** Whether a part of the request had not arrived when it ended. */
	readonly isRequestIncomplete?: boolean;
	/** Time to the first chunk of a stream, and the longest pause between two chunks. */
	readonly firstMs?: number;
	readonly longestPauseMs?: number;
	/** Why a planned stop of this host ended the request. */
	readonly stopRefusal?: StopRefusal;
	/** What was expected of a request that was served during a planned stop, when it was let in and at the last check. */
	readonly stopArrival?: StopEstimate;
	readonly stopEstimate?: StopEstimate;
	/** Whether the end of a planned stop ended the request after it had been sent to a target. */
	readonly wasCutByStop?: boolean;
	/** Body bytes relayed to the caller of a request that was cut off. */
	readonly relayedBytes?: number;
};

/** Receives events of forwarded requests. */
export abstract class ForwardObserver {
	/** Records a request that is within its customer's rate, before it gets a target. */
	abstract recordArrival(service: string, call: ForwardCall): void;
	abstract recordAttempt(event: AttemptEvent): void;
	/** Records, once for each request, that a target has begun to run it: the first event of a stream or the head of another answer has arrived. */
	recordBegun?(customer: string): void;
	abstract recordEnd(event: ForwardEndEvent): void;
	/** Records that a target's process has ended while requests of this host were in flight there. */
	abstract recordTargetEnd(end: TargetEnd): void;
}

/** Borrows from the pool of a customer's rate, which the rate owner holds. */
export abstract class RatePoolClient {
	/** Undefined when the owner is unreachable. */
	abstract borrow(name: string, cost: number): Promise<RateDecision | undefined>;
	/** Gives back a borrowed cost that was not spent. */
	abstract giveBack(name: string, cost: number): void;
}

/** Dependencies of request forwarding. */
export type ForwardDependencies = {
	readonly clock: Clock;
	/** Limit on the bytes of requests and answers that this host holds. */
	readonly memory: MemoryBudget;
	/** Shares the event loop among long answers. */
	readonly turns: TurnQueue;
	readonly random: Random;
	readonly dialect: ForwardDialect;
	readonly queue: SlotQueue;
	readonly rates: RateAllocations;
	readonly poolClient: RatePoolClient;
	/** Retry times for callers over their customer's rate, by customer. */
	readonly retrySchedule: RetrySchedule;
	readonly sender: ForwardSender;
	readonly observer: ForwardObserver;
	readonly getTable: () => RouteTable | undefined;
	readonly stop: PlannedStop;
	/** Time for which requests with keys may be served. */
	readonly keyLease: KeyLease;
	readonly targetEnds: TargetEnds;
	/** Evidence on what ends targets, and the decisions that rest on it. */
	readonly crashes: CrashTracker;
	readonly crashGate: CrashGate;
	readonly durations: RouteDurations;
	/** What requests of each route are expected to take. */
	readonly sizes: RouteSizes;
	/** Retry budget of a service. */
	readonly getRetries: (service: string) => RetryBudget;
};
