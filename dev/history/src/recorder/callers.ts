import {setTimeout as delay} from 'node:timers/promises';
import type {Random} from '@egretrill/common';
import {getBodyDigest} from '@egretrill/stand-ins';
import type {CallStarted, CallKind} from '../types.js';
import {WITHDRAWN_KEY_COUNT} from './constants.js';
import type {FleetUnderTest} from './fleet-under-test.js';
import type {Journal} from './journal.js';
import {randomBetween, randomBoolean, pick} from './pick.js';
import {type CallAnswer, sendCall} from './send-call.js';
import {getKey, MODELS} from './test-config.js';

export type CallerContext = {readonly fleet: FleetUnderTest; readonly journal: Journal; readonly random: Random; readonly signal: AbortSignal};

type Call = {
	readonly id: string;
	readonly callKind: CallKind;
	readonly route: string;
	readonly customer: string;
	readonly keyId: string;
	readonly body: string;
	readonly isKeyed?: boolean;
	readonly isIdempotent?: boolean;
	readonly isStream?: boolean;
	readonly tokens?: number;
	readonly headers?: Readonly<Record<string, string>>;
};

/** A caller task: sends calls one after another until its signal aborts. */
export abstract class Caller {
	private attemptCount = 0;

	constructor(protected readonly context: CallerContext, private readonly pauseMs: number) {}

	async run(): Promise<void> {
		const {random, signal} = this.context;
		while (!signal.aborted) {
			await this.callOnce();
			await delay(randomBetween(random, 0, 2 * this.pauseMs));
		}
	}

	protected async send(call: Call): Promise<CallAnswer> {
		const {fleet, journal, random} = this.context;
		const host = pick(random, fleet.fleet.hosts);
		this.attemptCount += 1;
		const attempt = `${call.id}/${this.attemptCount}`;
		const {isKeyed = true, isIdempotent = true, isStream = false, tokens = 0, callKind, customer, keyId, route} = call;
		const started: Omit<CallStarted, 'atMs'> = {
			kind: 'call-begun',
			attempt,
			callKind,
			host: host.peer.id,
			customer,
			keyId: customer === '' ? '' : keyId,
			route,
			isKeyed,
			isIdempotent,
			isStream,
			tokens,
			bodyDigest: getBodyDigest(call.body),
		};
		journal.record(started);
		const answer = await sendCall(`http://${host.addresses.callers}${route}`, {
			headers: {'x-attempt': attempt, ...(isKeyed && {authorization: `Bearer ${getKey(keyId)}`}), ...call.headers}, body: call.body,
		});
		journal.record({kind: 'call-ended', attempt, ...answer});
		return answer;
	}

	protected abstract callOnce(): Promise<void>;
}

/** Calls a plain service on an open route, or with a valid key, a key that is withdrawn during the run, or an unknown key. */
export class ServiceCaller extends Caller {
	protected override async callOnce(): Promise<void> {
		const {journal, random} = this.context;
		const callKind = pick(random, ['open', 'registry', 'registry', 'withdrawn-key', 'withdrawn-key', 'unknown-key'] as const);
		const id = journal.createId(callKind);
		const common = {id, callKind, body: id};
		switch (callKind) {
			case 'open': {
				await this.send({
					...common, route: '/public/board', customer: '', keyId: '', isKeyed: false,
				});
				break;
			}

			case 'registry': {
				const customer = pick(random, ['yard', 'port']);
				await this.send({
					...common, route: '/registry/mark', customer, keyId: customer,
				});
				break;
			}

			case 'withdrawn-key': {
				const keyId = `guild-key-${1 + Math.floor(random() * WITHDRAWN_KEY_COUNT)}`;
				await this.send({
					...common, route: '/registry/mark', customer: 'guild', keyId,
				});
				break;
			}

			case 'unknown-key': {
				await this.send({
					...common, route: pick(random, ['/registry/mark', '/orders']), customer: '', keyId: 'nobody', headers: {'idempotency-key': id},
				});
				break;
			}
		}
	}
}

/** Requests drafts from engines, streamed and unstreamed, interactive and batch. */
export class DraftCaller extends Caller {
	protected override async callOnce(): Promise<void> {
		const {random} = this.context;
		const isBatch = randomBoolean(random, 0.25);
		const customer = pick(random, ['yard', 'port']);
		await this.sendDraft(isBatch ? 'batch' : 'draft', customer, !isBatch && randomBoolean(random, 0.7));
	}

	protected async sendDraft(callKind: CallKind, customer: string, isStream: boolean): Promise<void> {
		const {journal, random} = this.context;
		const id = journal.createId(callKind);
		const tokens = 5 + Math.floor(random() * 40);
		const body = JSON.stringify({
			model: pick(random, ['inscription', ...MODELS]),
			stream: isStream,
			max_tokens: tokens,
			messages: [{role: 'user', content: `Draft ${id}.`}],
			...(randomBoolean(random, 0.5) && {temperature: 0}),
		});
		await this.send({
			id, callKind, route: '/v1/chat/completions', customer, keyId: customer, body, isStream, tokens, headers: callKind === 'batch' ? {'x-egretrill-priority': 'batch'} : {},
		});
	}
}

/** Sends non-idempotent orders and resends them through random hosts, sequentially or concurrently, as a caller does after a lost answer. */
export class OrderCaller extends Caller {
	private round = 0;

	constructor(context: CallerContext, pauseMs: number, private readonly customer: string, private readonly callerIndex: number) {
		super(context, pauseMs);
	}

	protected override async callOnce(): Promise<void> {
		const {random} = this.context;
		this.round += 1;
		const {customer, callerIndex, round} = this;
		// Both customers use the same idempotency keys; keys are scoped to the customer, so their orders must not be mixed up.
		const id = `order-${callerIndex}-${round}`;
		const call: Call = {
			id: `${customer}-${id}`, callKind: 'order', route: '/orders', customer, keyId: customer, isIdempotent: false, body: `${customer} ${id}`, headers: {'idempotency-key': id},
		};
		await Promise.all(randomBoolean(random, 0.3) ? [this.send(call), this.send(call)] : [this.send(call)]);
		for (let i = 0; i < 3 && randomBoolean(random, 0.5); i++) {
			await this.send(call);
		}

		if (randomBoolean(random, 0.1)) {
			await this.send({
				...call, id: `${call.id}-changed`, callKind: 'reused-key', body: `${call.body} changed`,
			});
		}
	}
}

/** Sends calls faster than its customers' rates allow, without waiting for answers. */
export class OverRateCaller extends DraftCaller {
	private readonly pending = new Set<Promise<void>>();

	override async run(): Promise<void> {
		await super.run();
		await Promise.all(this.pending);
	}

	protected override async callOnce(): Promise<void> {
		const {random} = this.context;
		const sent = randomBoolean(random, 0.35) ? this.sendDraft('over-rate', 'survey', randomBoolean(random, 0.5)) : this.callRegistry();
		this.pending.add(sent);
		const removeWhenDone = async (): Promise<void> => {
			await sent;
			this.pending.delete(sent);
		};

		void removeWhenDone();
	}

	private async callRegistry(): Promise<void> {
		const id = this.context.journal.createId('over-rate');
		await this.send({
			id, callKind: 'over-rate', route: '/registry/mark', customer: 'archive', keyId: 'archive', body: id,
		});
	}
}
