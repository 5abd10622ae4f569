import {
	CallerReply, ChosenTarget, CrashGate, CrashTracker, type RequestObserver, RetryBudget, type runOnTargets, TargetPool, type TargetRequirements,
} from '@egretrill/callers';
import {
	MonotonicClock, refuse, type TargetAddress, type Verdict,
} from '@egretrill/common';
import {EngineClient} from '@egretrill/engines';
import {ServiceClient} from '@egretrill/services';
import {Result} from 'true-myth';

export type Exchange = Parameters<typeof runOnTargets>[0];

/** Records what a caller would receive. */
export class RecordedReply extends CallerReply {
	status = 0;
	text = '';
	private isBegun = false;

	override get isStarted(): boolean {
		return this.isBegun;
	}

	override get isEventStream(): boolean {
		return true;
	}

	override start(status: number): void {
		this.status = status;
		this.isBegun = true;
	}

	override async write(bytes: Uint8Array | string): Promise<void> {
		this.text += String(bytes);
	}

	override async end(): Promise<void> {
		this.text += 'end';
	}

	override abort(): void {
		this.text += 'connection closed';
	}
}

/** A target that no longer announces itself, so that a stream is resumed at another one. */
class UnannouncedTarget extends ChosenTarget {
	override readonly hasPermit = true;

	constructor(override readonly address: TargetAddress) {
		super();
	}

	override isAvailable(): boolean {
		return true;
	}

	override isProcessAnnounced(): boolean {
		return false;
	}

	override async hasEnded(): Promise<boolean> {
		return false;
	}

	override recordFirstToken(): void {
		// Not used by these tests.
	}

	override release(): void {
		// Not used by these tests.
	}
}

/** A pool that offers each address once, in this order. */
export class FixedTargetPool extends TargetPool {
	constructor(private readonly addresses: readonly string[]) {
		super();
	}

	override getFreeSlots(): number {
		return 1;
	}

	override async choose({excluded}: TargetRequirements): Promise<Result<ChosenTarget, Verdict>> {
		const address = this.addresses.find(known => !excluded.has(known));
		return address === undefined
			? Result.err(refuse(503, 'no-target', 'No target is left.'))
			: Result.ok(new UnannouncedTarget({targetId: address, startId: address, address}));
	}
}

/** The clients with which requests are sent to targets. */
export class TargetClients {
	readonly engines = new EngineClient(new MonotonicClock());
	readonly services = new ServiceClient();

	close(): void {
		this.engines.close();
	}
}

export type ExchangeOptions = {
	readonly work?: 'stream' | 'completion' | 'service';
	readonly timeoutMs?: number;
	readonly body?: string;
};

/** Creates the exchange of an admitted request: an idempotent chat, or a call of a service that must not run twice. */
export function createExchange(targets: TargetPool, reply: CallerReply, {engines, services}: TargetClients, {work = 'stream', timeoutMs = 5000, body = '{}'}: ExchangeOptions = {}): Exchange {
	const clock = new MonotonicClock();
	const observer: Partial<RequestObserver> = {
		recordSend: () => undefined, recordUnsent: () => undefined, recordTimes: () => undefined,
	};
	return {
		req: {
			requestId: 'req-1', method: 'POST', path: '/v1/chat/completions', headers: {}, body: new TextEncoder().encode(body),
		},
		work: work === 'service'
			? {route: {kind: 'service', service: 's', idempotent: false}, prompt: ''}
			: {
				route: {kind: 'model', idempotent: true}, prompt: '', isDeterministic: true, chat: {model: 'm', stream: work === 'stream'},
			},
		reply,
		identity: {},
		keys: [],
		admission: {refresh: async () => Result.ok(true), start: () => true},
		signal: new AbortController().signal,
		deadlineMs: clock.now() + timeoutMs,
		deps: {
			clock, targets, observer, engines, services, crashGate: new CrashGate(clock, new CrashTracker(clock, 'test')), retries: new RetryBudget(clock), config: {getIndex: () => ({}), getAgeMs: () => 0}, logger: {info: () => undefined},
		},
	} as unknown as Exchange;
}
