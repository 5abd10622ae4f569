import type {
	AtMostOnceLedger, Clock, EngineChannel, Logger, TargetClient, Verdict,
} from '@egretrill/common';
import type {ConfigSource} from './config-index.js';
import type {CrashGate, RankedKey} from './crashes/index.js';
import type {ShareHolder} from './limits/index.js';
import type {QueueSet} from './queue-set.js';
import type {RetryBudget} from './retry-budget.js';
import type {TargetPool} from './target-pool.js';
import type {Work} from './work.js';

/** Latencies of a request, for metrics. */
export type RequestTimes = {
	readonly customer: string;
	readonly model?: string;
	readonly queueMs?: number;
	readonly firstTokenMs?: number;
	readonly betweenTokensMs?: number;
};

/** An attempt of a request, recorded when it is sent to a target. */
export type SendEvent = {
	readonly requestId: string;
	readonly customer?: string;
	readonly keyDigest?: string;
	readonly targetId: string;
	readonly startId: string;
	readonly isIdempotent: boolean;
	/** Whether the attempt resumes an answer that has been started. */
	readonly isResume: boolean;
	/** Whether the attempt uses a permit for a cold target. */
	readonly hasPermit: boolean;
};

/** How a request with a known customer ended. */
export type RequestEndEvent = {readonly requestId: string; readonly customer: string; readonly outcome: 'completed' | 'cancelled' | Verdict};

/** Receives events of requests, for metrics, demand and the monitor's promise counters. */
export abstract class RequestObserver {
	/** Records a request with a known route, before any further check can refuse it. */
	abstract recordArrival(work: Work): void;
	abstract recordTimes(times: RequestTimes): void;
	abstract recordSend(send: SendEvent): void;
	/** Records that nothing of the last attempt was sent to its target. */
	abstract recordUnsent(requestId: string): void;
	abstract recordEnd(end: RequestEndEvent): void;
	/** Records that a target's process ended while a request with these keys waited there; resolves once the leader knows it. */
	abstract recordCrash(keys: readonly RankedKey[], startId: string): Promise<void>;
}

/** Dependencies of request handling. */
export type RequestDependencies = {
	readonly hostId: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly config: ConfigSource;
	readonly shares: ShareHolder;
	readonly queues: QueueSet;
	readonly crashGate: CrashGate;
	readonly retries: RetryBudget;
	readonly targets: TargetPool;
	readonly engines: EngineChannel;
	readonly services: TargetClient;
	readonly ledger: AtMostOnceLedger;
	readonly observer: RequestObserver;
};
