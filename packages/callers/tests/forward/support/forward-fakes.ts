import {Buffer} from 'node:buffer';
import {
	type ManualClock, type OutgoingMessage, type SendFailure, type TargetAnswer, type Verdict,
} from '@egretrill/common';
import {Result} from 'true-myth';
import {
	type AnswerMetadata, type AnswerHead, type AttemptEvent, CallerExchange, type ForwardCall, ForwardDialect, type ForwardEndEvent, ForwardObserver, ForwardSender, type SlotResult, type SlotRequirements, SlotSource, RatePoolClient, RateAllocations, type RequestHead, type SendDetails, type TargetLoad, TargetProbe,
} from '../../../src/forward/index.js';

/** How a fake target answers one request. */
export type FakeAnswer = {
	readonly status?: number;
	readonly attemptId?: string;
	readonly isUnsigned?: boolean;
	readonly isNotExecuted?: boolean;
	readonly isEventStream?: boolean;
	readonly load?: TargetLoad;
	readonly chunks?: readonly string[];
	/** Without chunks: the id up to which the target sends the events that the request lacks. */
	readonly lastId?: number;
	/** The body is truncated. */
	readonly isCut?: boolean;
	/** The exchange fails; the value says whether the target may have received the request. */
	readonly failure?: SendFailure;
	/** The target sends nothing after its chunks. */
	readonly isSilent?: boolean;
	/** Time that the target takes to answer. */
	readonly headDelayMs?: number;
	/** Pauses of the target before its chunks, by the index of the chunk. */
	readonly pausesMs?: Readonly<Record<number, number>>;
	/** The sender rejects. */
	readonly isRejected?: boolean;
	/** The head cannot be parsed, which throws. */
	readonly isUnparsable?: boolean;
};

/** Step of a request that throws unexpectedly. */
export type ThrowingStep = 'readCall' | 'writeSendHeaders' | 'recordAttempt' | 'refuse';

class UnexpectedError extends Error {
	constructor(step: string) {
		super(`Unexpected in ${step}.`);
	}
}

function throwAt(step: ThrowingStep, throwingStep: ThrowingStep | undefined): void {
	if (step === throwingStep) {
		throw new UnexpectedError(step);
	}
}

export class FakeDialect extends ForwardDialect {
	constructor(private readonly throwingStep: ThrowingStep | undefined) {
		super();
	}

	override readCall({method, url, rawHeaders}: RequestHead): ForwardCall {
		throwAt('readCall', this.throwingStep);
		const get = (name: string): string | undefined => rawHeaders[rawHeaders.indexOf(name) + 1];
		const has = (name: string): boolean => rawHeaders.includes(name);
		return {
			attemptId: 'attempt-1', method, url, hostName: 'app.test', promptParts: has('part') ? [{id: get('part') ?? '', tokens: 1}, {id: 'own', tokens: 1}] : [], headers: [], ...(has('key') && {key: get('key')}), ...(has('last') && {lastEventId: Number(get('last'))}), ...(has('time') && {timeLeftMs: Number(get('time'))}),
		};
	}

	override writeSendHeaders(_call: ForwardCall, {targetId, timeLeftMs, customer, lastEventId}: SendDetails): string[] {
		throwAt('writeSendHeaders', this.throwingStep);
		return [targetId, String(timeLeftMs), customer ?? '', String(lastEventId ?? '')];
	}

	override readAnswer({rawHeaders}: AnswerHead): AnswerMetadata {
		const metadata = JSON.parse(rawHeaders[0] ?? '{}') as FakeAnswer;
		if (metadata.isUnparsable) {
			throw new UnexpectedError('readAnswer');
		}

		return {
			attemptId: metadata.attemptId ?? 'attempt-1', isSigned: !metadata.isUnsigned, isNotExecuted: metadata.isNotExecuted ?? false, isEventStream: metadata.isEventStream ?? false, headers: ['x-target', 'yes'], ...(metadata.load && {load: metadata.load}),
		};
	}
}

/** Time from the head of a relayed answer until it ended or was closed. */
export type AnswerTime = {readonly targetId: string | undefined; readonly openedMs: number; closedMs?: number};

function createEvents(firstId: number, lastId: number): readonly string[] {
	return Array.from({length: Math.max(0, lastId - firstId + 1)}, (_, index) => `id: ${firstId + index}\ndata: x\n\n`);
}

export class FakeSender extends ForwardSender {
	readonly sent: string[] = [];
	readonly answerTimes: AnswerTime[] = [];

	constructor(private readonly answers: FakeAnswer[], private readonly clock: ManualClock) {
		super();
	}

	override async send({headers}: OutgoingMessage, signal: AbortSignal): Promise<Result<TargetAnswer, SendFailure>> {
		const [targetId, timeLeftMs, customer, lastEventId] = headers;
		this.sent.push(`${targetId} with ${timeLeftMs} ms${customer ? ` for ${customer}` : ''}${lastEventId ? ` after event ${lastEventId}` : ''}`);
		const answer = this.answers.shift() ?? {};
		if (answer.headDelayMs !== undefined) {
			await this.clock.sleep(answer.headDelayMs, signal);
		}

		if (signal.aborted) {
			this.sent.push(`${targetId} cancelled`);
			return Result.err({accepted: true, code: 'ABORT_ERR', reason: 'aborted'});
		}

		if (answer.isRejected) {
			throw new UnexpectedError('send');
		}

		if (answer.failure) {
			return Result.err(answer.failure);
		}

		const closed = new AbortController();
		const {clock} = this;
		const time: AnswerTime = {targetId, openedMs: clock.now()};
		const {answerTimes} = this;
		const chunks = answer.chunks ?? createEvents(Number(lastEventId ?? 0) + 1, answer.lastId ?? 0);
		const body = async function * (): AsyncGenerator<Uint8Array> {
			answerTimes.push(time);
			const ended = AbortSignal.any([signal, closed.signal]);
			for (const [index, chunk] of chunks.entries()) {
				const pauseMs = answer.pausesMs?.[index];
				if (pauseMs !== undefined) {
					await clock.sleep(pauseMs, ended);
				}

				if (ended.aborted) {
					throw new Error('aborted');
				}

				yield Buffer.from(chunk);
			}

			if (answer.isSilent) {
				await clock.sleep(1_000_000, ended);
			}

			time.closedMs ??= clock.now();
			if ([answer.isCut, answer.isSilent].includes(true)) {
				throw new Error('aborted');
			}
		};

		return Result.ok({
			status: answer.status ?? 200,
			rawHeaders: [JSON.stringify(answer)],
			body: body(),
			framing: 'chunks',
			isConnectionReused: false,
			isComplete: () => !answer.isCut,
			discard: () => undefined,
			destroy() {
				time.closedMs ??= clock.now();
				closed.abort();
			},
		});
	}
}

export class FakeExchange extends CallerExchange {
	readonly disconnected = new AbortController();
	readonly received: string[] = [];
	private isStarted = false;

	/** `blockWrite` resolves when the caller accepts more data. */
	constructor(readonly head: RequestHead, private readonly throwingStep: ThrowingStep | undefined, private readonly blockWrite: () => Promise<void>) {
		super();
	}

	get callerDisconnected(): AbortSignal {
		return this.disconnected.signal;
	}

	override async readBody(onChunk: (chunk: Uint8Array) => boolean): Promise<boolean> {
		return onChunk(Buffer.from('body'));
	}

	override isRequestComplete(): boolean {
		return true;
	}

	override hasStarted(): boolean {
		return this.isStarted;
	}

	override start(status: number, headers: readonly string[], bodyLength?: number): void {
		this.isStarted = true;
		this.received.push(`${status} ${headers.join('=')}${bodyLength === undefined ? '' : ` of ${bodyLength} bytes`}`);
	}

	override cancelWritesOn(): void {
		// Writes to this caller do not wait.
	}

	override async write(bytes: Uint8Array): Promise<void> {
		this.received.push(Buffer.from(bytes).toString());
		await this.blockWrite();
	}

	override end(): void {
		this.received.push('end');
	}

	override abort(): void {
		this.received.push('connection closed');
	}

	override refuse({status, code, run, retryAfterMs}: Verdict): void {
		throwAt('refuse', this.throwingStep);
		this.received.push(`${status} ${code}, ${run}${retryAfterMs === undefined ? '' : `, return after ${Math.round(retryAfterMs)} ms`}`);
	}
}

export class FakeSlots extends SlotSource {
	readonly ends: string[] = [];
	/** What targets have reported of themselves, and streams that were observed. */
	readonly observed: unknown[] = [];

	/** Targets in `freeAfterMs` are full until then. */
	constructor(private readonly targets: readonly string[], private readonly clock: ManualClock, private readonly freeAfterMs: Readonly<Record<string, number>>, private readonly leaving: Readonly<Record<string, {readonly fromMs: number; readonly untilMs: number}>> = {}) {
		super();
	}

	override findSlot({tried, work}: SlotRequirements): SlotResult {
		this.observed.push({work});
		const targetId = this.targets.find(target => !tried.has(target) && this.clock.now() >= (this.freeAfterMs[target] ?? 0));
		return targetId === undefined
			? {kind: 'none'}
			: {
				kind: 'slot',
				slot: {
					targetId, address: `${targetId}:1`, zone: 'a', startedAtMs: 1, wasCold: false, isLeaving: () => false, outstanding: 0, recordActivity: () => undefined, getLeaveLeftMs: () => this.getLeaveLeftMs(targetId), reportLeaving: () => undefined, reportPause: () => undefined, recordLoad: load => {
						this.observed.push({targetId, load});
					}, recordStream: (events, durationMs) => {
						this.observed.push({targetId, events, durationMs});
					}, reportSilence: () => {
						this.ends.push(`${targetId} silent`);
					}, release: end => {
						this.ends.push(`${targetId} ${end}`);
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

	private getLeaveLeftMs(targetId: string): number | undefined {
		const leave = this.leaving[targetId];
		return leave && this.clock.now() >= leave.fromMs ? Math.max(0, leave.untilMs - this.clock.now()) : undefined;
	}
}

export class EndRecorder extends ForwardObserver {
	readonly attempts: AttemptEvent[] = [];
	readonly ends: ForwardEndEvent[] = [];
	/** Requests that count as demand. */
	arrivals = 0;
	/** Customers of requests that a target has begun to run. */
	readonly begun: string[] = [];

	constructor(private readonly throwingStep: ThrowingStep | undefined) {
		super();
	}

	override recordArrival(): void {
		this.arrivals += 1;
	}

	override recordAttempt(event: AttemptEvent): void {
		throwAt('recordAttempt', this.throwingStep);
		this.attempts.push(event);
	}

	override recordBegun(customer: string): void {
		this.begun.push(customer);
	}

	override recordEnd(event: ForwardEndEvent): void {
		this.ends.push(event);
	}

	override recordTargetEnd(): void {
		// The end of a target is tested with the hosts.
	}
}

export class RecordingRates extends RateAllocations {
	wasRefunded = false;

	override refund(name: string, cost: number): void {
		this.wasRefunded = true;
		super.refund(name, cost);
	}
}

export class UnavailablePoolClient extends RatePoolClient {
	override async borrow(): Promise<undefined> {
		return undefined;
	}

	override giveBack(name: string): void {
		throw new Error(`Nothing was borrowed for ${name}.`);
	}
}

/** A probe that finds each target ended. */
export class RefusingProbe extends TargetProbe {
	override async isRefused(): Promise<boolean> {
		return true;
	}
}
