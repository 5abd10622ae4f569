import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {Random} from '@egretrill/common';
import {createCallHeaders, createStreamBody, createStreamPath} from '@egretrill/platform/testing';
import {
	LONG_PAUSE_RATIO, MAX_LONG_PAUSE_MS, MAX_SHORT_PAUSE_MS, READY_POLL_MS, routes,
} from './constants.js';
import {drawPace, sendCall} from './send-call.js';
import type {CallRecord, RequestKind} from './types.js';

export type SoakCallerOptions = {
	readonly name: string;
	/** Whether the targets of this caller's streams never pause. */
	readonly isSteady: boolean;
	readonly random: Random;
	readonly getAddress: (host: number) => string;
	/** Hosts to which the balancer sends new connections. */
	readonly getReadyHosts: () => readonly number[];
	readonly calls: CallRecord[];
};

/** A request as drawn: where it goes and what its target answers. */
type Drawn = {readonly kind: RequestKind; readonly url: string; readonly tokensOut?: number; readonly timeLimitMs: number; readonly getBody: (attemptId: string) => string};

const KIND_WEIGHTS: ReadonlyArray<readonly [kind: RequestKind, weight: number]> = [['draft', 0.45], ['caption', 0.25], ['lookup', 0.2], ['order', 0.1]];
/** Median and spread of the number of events of a draft, and the most. */
const DRAFT_EVENTS = {median: 44, spread: 0.7, max: 190};
const CAPTION_EVENTS = {median: 6, spread: 1.1, max: 36};
/** Some streams wait at their target before the first event, and some pause in their middle, as those of sound targets do. */
const LATE_RATIO = 0.1;
const MAX_LATE_MS = 2000;
const PAUSE_RATIO = 0.03;
const MAX_PAUSE_MS = 1500;
/** Most tokens that a stream allows, as on the users' sites: the same for each of its kind and mostly far above what it uses. */
const ALLOWED_TOKENS: Readonly<Partial<Record<RequestKind, number>>> = {draft: 950, caption: 180};
/** Fraction of requests that name the most tokens that they allow. */
const NAMED_RATIO = 0.8;
/** Least time of a token in percent of the slowest model's: models differ as much on the users' sites. */
const MIN_TOKEN_PERCENT = 30;

function drawEvents(random: Random, {median, spread, max}: typeof DRAFT_EVENTS): number {
	// A sum of uniform numbers is close enough to a normal distribution.
	const normal = Array.from({length: 12}, () => random()).reduce((sum, value) => sum + value, -6);
	return Math.max(1, Math.min(max, Math.round(median * Math.exp(spread * normal))));
}

function drawKind(random: Random): RequestKind {
	let left = random();
	for (const [kind, weight] of KIND_WEIGHTS) {
		left -= weight;
		if (left < 0) {
			return kind;
		}
	}

	return 'lookup';
}

function drawRequest(random: Random, isSteady: boolean): Drawn {
	const kind = drawKind(random);
	const {prefix, timeoutMs: timeLimitMs} = routes.find(route => route.kind === kind)!;
	if (kind === 'lookup' || kind === 'order') {
		return {
			kind, url: `/${prefix}/a`, timeLimitMs, getBody: attemptId => `answer to ${attemptId}`,
		};
	}

	const events = drawEvents(random, kind === 'draft' ? DRAFT_EVENTS : CAPTION_EVENTS);
	const shape = {
		events,
		firstMs: random() < LATE_RATIO ? Math.round(MAX_LATE_MS * random()) : 0,
		pauseMs: random() < PAUSE_RATIO && !isSteady ? Math.round(MAX_PAUSE_MS * random()) : 0,
		tokenPercent: Math.round(MIN_TOKEN_PERCENT + ((100 - MIN_TOKEN_PERCENT) * random())),
	};
	const tokensOut = random() < NAMED_RATIO ? ALLOWED_TOKENS[kind] : undefined;
	return {
		kind, url: createStreamPath(prefix, shape), timeLimitMs, getBody: attemptId => createStreamBody(attemptId, events), ...(tokensOut !== undefined && {tokensOut}),
	};
}

/** A caller that keeps its connection to a host, and sends on it, until the connection is closed. */
export class SoakCaller {
	private sent = 0;

	constructor(private readonly opts: SoakCallerOptions) {}

	async run(signal: AbortSignal): Promise<void> {
		const {random, getReadyHosts} = this.opts;
		while (!signal.aborted) {
			const hosts = getReadyHosts();
			const host = hosts[Math.floor(random() * hosts.length)];
			if (host === undefined) {
				await delay(READY_POLL_MS);
				continue;
			}

			await this.useConnection(host, signal);
		}
	}

	/** Sends one request after the other on a connection until it is closed. */
	private async useConnection(host: number, signal: AbortSignal): Promise<void> {
		const {random} = this.opts;
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		for (let isKept = false; !signal.aborted; isKept = true) {
			const call = await this.send(agent, host, isKept);
			// A connection that was closed with or after the answer, or a host that refuses, sends the caller elsewhere.
			const isOver = !call.isComplete || Object.keys(agent.freeSockets).length === 0 || (call.status === 503 && random() < 0.5);
			if (isOver) {
				break;
			}

			await delay((random() < LONG_PAUSE_RATIO ? MAX_LONG_PAUSE_MS : MAX_SHORT_PAUSE_MS) * random());
			if (Object.keys(agent.freeSockets).length === 0) {
				break;
			}
		}

		agent.destroy();
	}

	private async send(agent: Agent, host: number, isKept: boolean): Promise<CallRecord> {
		const {name, isSteady, random, getAddress, calls} = this.opts;
		this.sent += 1;
		const attemptId = `${name}-${this.sent}`;
		const {kind, url, tokensOut, timeLimitMs, getBody} = drawRequest(random, isSteady);
		const call: CallRecord = {
			attemptId,
			kind,
			host,
			isKept,
			sentMs: performance.now(),
			bodySentMs: Number.POSITIVE_INFINITY,
			timeLimitMs,
			expectedBody: getBody(attemptId),
			status: 0,
			body: '',
			isComplete: false,
			endedMs: Number.POSITIVE_INFINITY,
		};
		calls.push(call);
		const body = `body of ${attemptId}`;
		const pace = drawPace(body, random);
		const headers = createCallHeaders({
			attemptId, timeLimitMs, ...(!pace.isChunked && {bodyLength: body.length}), ...(tokensOut !== undefined && {tokensOut}),
		});
		await sendCall(call, {
			agent, address: getAddress(host), path: url, headers, pace,
		});
		// The agent takes a connection back only in the next turn.
		await delay(0);
		return call;
	}
}
