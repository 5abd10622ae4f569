import {once} from 'node:events';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	type AnswerHead, type AnswerMetadata, type AttemptEvent, CrashGate, CrashTracker, type ForwardCall, type ForwardDependencies, ForwardDialect, type ForwardEndEvent, ForwardObserver, forwardRequest, ForwardSender, KeyLease, PlannedStop, RateAllocations, RatePoolClient, type RequestHead, RetryBudget, RetrySchedule, RouteDurations, RouteSizes, RouteTable, type SendDetails, type SlotOutcome, SlotQueue, type SlotRequirements, type SlotResult, SlotSource, TargetEnds,
} from '@egretrill/callers';
import {
	createHttpServer, MemoryBudget, MonotonicClock, type OutgoingMessage, type SendFailure, type TargetAnswer, type TrafficConfig, type TrafficRoute, TurnQueue,
} from '@egretrill/common';
import type {Result} from 'true-myth';
import {HttpSender} from '../../../src/traffic/http-sender.js';
import {HttpTargetProbe} from '../../../src/traffic/http-target-probe.js';
import {NodeExchange} from '../../../src/traffic/node-exchange.js';

/** Headers that a target's answer needs to be forwarded. */
export const SIGNED = 'seal: s\r\nattempt: a1\r\n';

function getHeader(rawHeaders: readonly string[], name: string): string | undefined {
	const index = rawHeaders.findIndex((value, i) => i % 2 === 0 && value === name);
	return index === -1 ? undefined : rawHeaders[index + 1];
}

/** Dialect of a deployment whose targets sign answers with `seal` and identify the request with `attempt`. */
export class TestDialect extends ForwardDialect {
	override readCall({method, url, rawHeaders}: RequestHead): ForwardCall {
		const lastEventId = getHeader(rawHeaders, 'last-event-id');
		return {
			attemptId: getHeader(rawHeaders, 'attempt') ?? 'a1',
			method,
			url,
			hostName: 'app.test',
			promptParts: [],
			headers: ['Host', 'app.test'],
			...(lastEventId !== undefined && {lastEventId: Number(lastEventId)}),
		};
	}

	override writeSendHeaders({headers}: ForwardCall, {bodyLength, lastEventId}: SendDetails): string[] {
		return [...headers, ...(lastEventId === undefined ? [] : ['last-event-id', String(lastEventId)]), 'Content-Length', String(bodyLength)];
	}

	override readAnswer({rawHeaders}: AnswerHead): AnswerMetadata {
		const has = (name: string): boolean => getHeader(rawHeaders, name) !== undefined;
		return {
			attemptId: getHeader(rawHeaders, 'attempt'), isSigned: has('seal'), isNotExecuted: has('not-run'), isEventStream: has('events'), headers: ['seal', 's'],
		};
	}
}

/** A slot that was released, with its outcome. */
type ReleasedSlot = {readonly targetId: string; readonly outcome: SlotOutcome};

class FixedSlotSource extends SlotSource {
	readonly released: ReleasedSlot[] = [];

	constructor(private readonly addresses: readonly string[], private readonly fullTargets: readonly string[]) {
		super();
	}

	override findSlot({tried}: SlotRequirements): SlotResult {
		const untried = this.addresses.filter(known => !tried.has(known));
		const address = untried.find(known => !this.fullTargets.includes(known));
		return address === undefined
			? {kind: untried.length === 0 ? 'none' : 'full'}
			: {
				kind: 'slot', slot: {
					targetId: address, address, zone: 'a', startedAtMs: 1, wasCold: false, isLeaving: () => false, outstanding: 0, recordLoad: () => undefined, recordStream: () => undefined, reportSilence: () => undefined, recordActivity: () => undefined, reportLeaving: () => undefined, reportPause: () => undefined, release: outcome => {
						this.released.push({targetId: address, outcome});
					},
				},
			};
	}

	override getPauseLeftMs(): undefined {
		return undefined;
	}

	override getTimeUntilReadyMs(): undefined {
		return undefined;
	}

	override requestLoad(): void {
		// Services have no models.
	}
}

class RecordingObserver extends ForwardObserver {
	readonly attempts: AttemptEvent[] = [];
	readonly ends: ForwardEndEvent[] = [];

	override recordArrival(): void {
		// The tests do not check demand.
	}

	override recordAttempt(event: AttemptEvent): void {
		this.attempts.push(event);
	}

	override recordEnd(event: ForwardEndEvent): void {
		this.ends.push(event);
	}

	override recordTargetEnd(): void {
		// The tests do not check the ends of targets.
	}
}

class RefusingLender extends RatePoolClient {
	override async borrow(): Promise<undefined> {
		return undefined;
	}

	override giveBack(name: string): void {
		throw new Error(`Nothing was borrowed for ${name}.`);
	}
}

/** Calls `onChunk` for each chunk of an answer that is read. */
class ObservedSender extends ForwardSender {
	constructor(private readonly sender: HttpSender, private readonly onChunk: () => void) {
		super();
	}

	override async send(message: OutgoingMessage, signal: AbortSignal): Promise<Result<TargetAnswer, SendFailure>> {
		const sent = await this.sender.send(message, signal);
		return sent.map(answer => ({...answer, body: this.observeChunks(answer.body)}));
	}

	private async * observeChunks(body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
		for await (const chunk of body) {
			this.onChunk();
			yield chunk;
		}
	}
}

/** A configuration without routes. */
export const config: TrafficConfig = {
	version: 1,
	routes: [],
	services: [{name: 's', coldRequestsPerSecond: 0}],
	limits: {
		maxHeaderBytes: 10_000, maxBodyBytes: 100_000_000, headerTimeoutMs: 5000, idleTimeoutMs: 5000,
	},
};

export const route: TrafficRoute = {
	name: 'r', hostName: 'app.test', pathPrefix: '/', repeat: 'once', isStream: false, isResumable: false, isOpen: true, timeoutMs: 10_000, targetLatencyMs: 500, priority: 1, maxAttempts: 2, services: [{service: 's', weight: 1}],
};

export type ForwardHostOptions = {
	readonly targets: readonly string[];
	/** Targets without a free slot. */
	readonly fullTargets?: readonly string[];
	/** Finds the slots in place of the fixed targets. */
	readonly slotSource?: SlotSource;
	readonly route?: Partial<TrafficRoute>;
	readonly onChunk?: () => void;
	readonly maxBodyBytes?: number;
	/** Limit on the bytes that the host holds. */
	readonly memoryBytes?: number;
};

/** The forwarding path of an entry host with its real HTTP server and client and fixed targets. */
export class ForwardHost {
	static async open(opts: ForwardHostOptions): Promise<ForwardHost> {
		const host = new ForwardHost(opts);
		host.server.listen(0, '127.0.0.1');
		await once(host.server, 'listening');
		return host;
	}

	readonly observer = new RecordingObserver();
	readonly slots: FixedSlotSource;
	readonly memory: MemoryBudget;
	private readonly sender = new HttpSender();
	private readonly server: Server;

	private constructor({targets, fullTargets = [], slotSource, route: changes, onChunk = () => undefined, maxBodyBytes = config.limits.maxBodyBytes, memoryBytes = Number.POSITIVE_INFINITY}: ForwardHostOptions) {
		this.slots = new FixedSlotSource(targets, fullTargets);
		const clock = new MonotonicClock();
		const memory = new MemoryBudget(clock, memoryBytes);
		const turns = new TurnQueue();
		this.memory = memory;
		const table = new RouteTable({...config, limits: {...config.limits, maxBodyBytes}, routes: [{...route, ...changes}]});
		const retries = new RetryBudget(clock, {ratio: 0, reserve: 100});
		const crashes = new CrashTracker(clock, 'test');
		const parts: ForwardDependencies = {
			clock, memory, turns, random: () => 0, dialect: new TestDialect(), queue: new SlotQueue(clock, slotSource ?? this.slots), rates: new RateAllocations(clock), poolClient: new RefusingLender(), retrySchedule: new RetrySchedule(clock), sender: new ObservedSender(this.sender, onChunk), observer: this.observer, getTable: () => table, stop: new PlannedStop(clock), keyLease: new KeyLease(() => undefined), durations: new RouteDurations(), sizes: new RouteSizes(), crashes, crashGate: new CrashGate(clock, crashes), targetEnds: new TargetEnds({clock, probe: new HttpTargetProbe(), onEnd: () => undefined}), getRetries: () => retries,
		};
		this.server = createHttpServer((req, res) => {
			void forwardRequest(new NodeExchange(req, res, {memory, turns, isStopping: () => false}), parts);
		}, {memory});
	}

	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	close(): void {
		this.sender.close();
		this.server.close();
		this.server.closeAllConnections();
	}
}
