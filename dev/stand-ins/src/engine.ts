import {once} from 'node:events';
import type {IncomingMessage} from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	type Announcement, type ChatRequest, ChatRequest as ChatRequestSchema, Order, REQUEST_ID_HEADER, RESUME_HEADER,
} from '@egretrill/common';
import got from 'got';
import express, {type Express, type Request, type Response} from 'express';
import {HEARTBEAT_INTERVAL_MS, PROMPT_TOKENS} from './constants.js';
import {EngineState} from './engine-state.js';
import {getBodyDigest} from './monotonic.js';
import {StandInTarget} from './target.js';
import {EngineOptions, type ReceivedRequest} from './types.js';

const answerWords = ['The', ' mark', ' shows', ' the', ' water', ' level', ' of', ' the', ' flood', ' at', ' this', ' wall', '.'];

function getWord(seq: number): string {
	return answerWords[seq % answerWords.length] ?? '';
}

function getUsage(chat: ChatRequest): Record<string, number> {
	return {prompt_tokens: PROMPT_TOKENS, completion_tokens: chat.max_tokens, total_tokens: PROMPT_TOKENS + chat.max_tokens};
}

/** A model engine that implements the engine protocol and generates fixed words at a fixed rate. */
export class StandInEngine extends StandInTarget {
	readonly state: EngineState;
	/** Ids of all requests that started, in order. */
	readonly begunRequests: string[] = [];
	peakRunning = 0;
	sentChunks = 0;
	private readonly opts: EngineOptions;
	/** Memory of models and adapters that are being loaded; an engine allocates it when the load starts. */
	private loadingMb = 0;
	private readonly bodyDigests = new WeakMap<IncomingMessage, string>();
	private running = 0;
	private prefilling = 0;
	private completed = 0;

	constructor(opts: Partial<EngineOptions> & Pick<EngineOptions, 'targetId' | 'zone' | 'hosts'>) {
		super(opts.hosts, opts.port);
		this.opts = EngineOptions.parse(opts);
		this.state = new EngineState(this.opts);
	}

	isCold(): boolean {
		return this.faults.cold ?? this.completed < this.opts.warmAfterRequests;
	}

	override getAnnouncement(): Announcement {
		return {
			targetId: this.opts.targetId,
			startId: this.startId,
			zone: this.opts.zone,
			address: this.address,
			kind: 'engine',
			role: this.state.role,
			honoursFencing: this.opts.honoursFencing,
			memoryMb: this.opts.memoryMb,
			load: {
				running: Math.min(this.running, this.opts.slots),
				waiting: Math.max(0, this.running - this.opts.slots),
				limit: this.opts.slots,
				kvUsedRatio: Math.min(1, this.running / this.opts.slots),
				prefilling: Math.min(this.prefilling, this.opts.slots),
			},
			resident: this.state.residents.map(resident => ({...resident, adapters: [...resident.adapters]})),
			settledOrders: [...this.state.settledOrders],
			leaving: this.faults.leaving ?? false,
			cold: this.isCold(),
		};
	}

	protected override getRecords(): Record<string, unknown> {
		const {state, begunRequests, peakRunning, lastHeaders} = this;
		return {
			memoryMb: state.getMemoryMb(), peakMemoryMb: state.peakMemoryMb, residents: state.residents, begunRequests, peakRunning, lastHeaders,
		};
	}

	protected override registerRoutes(app: Express): void {
		app.post('/v1/chat/completions', express.json({
			limit: '2mb', verify: (req, _res, body) => {
				this.bodyDigests.set(req, getBodyDigest(body));
			},
		}), async (req, res) => this.handleCompletion(req, res));
		app.post('/orders', express.json(), async (req, res) => this.handleOrder(req, res));
	}

	private async handleOrder(req: Request, res: Response): Promise<void> {
		const order = Order.parse(req.body);
		const received = this.recordRequest(req);
		if (this.faults.dropOrders) {
			received.outcome = 'not-answered';
			req.socket.destroy();
			return;
		}

		received.outcome = 'completed';
		if (!this.state.acceptFencing(order)) {
			res.status(409).json({error: {code: 'stale-fencing'}});
			return;
		}

		res.status(202).json({accepted: true});
		const addedMb = this.state.getAddedMb(order);
		this.loadingMb += addedMb;
		this.emitMemoryEvent();
		const isLoaded = await this.loadWeights(order);
		this.loadingMb -= addedMb;
		if (isLoaded) {
			this.state.apply(order);
		}

		this.emitMemoryEvent();
	}

	private emitMemoryEvent(): void {
		this.emitEvent({kind: 'memory', usedMb: this.state.getMemoryMb() + this.loadingMb, limitMb: this.opts.memoryMb});
	}

	/** Loads the model or adapter of an order; returns false if the weight store refused the load. */
	private async loadWeights(order: Order): Promise<boolean> {
		const {weightStore, modelLoadMs, adapterLoadMs} = this.opts;
		if (order.kind === 'load-model' && weightStore !== undefined) {
			const res = await got(`http://${weightStore}/weights/${order.model}`, {throwHttpErrors: false, retry: {limit: 0}});
			return res.statusCode === 200;
		}

		await delay(order.kind === 'load-model' ? modelLoadMs : (order.kind === 'load-adapter' ? adapterLoadMs : 0));
		return true;
	}

	private async handleCompletion(req: Request, res: Response): Promise<void> {
		const chat = ChatRequestSchema.parse(req.body);
		const requestId = req.get(REQUEST_ID_HEADER) ?? '';
		const resumeFrom = Number(req.get(RESUME_HEADER) ?? 0);
		const received = this.recordRequest(req);
		if (this.opts.checksResidency && !this.state.hasModel(chat.model, chat.adapter)) {
			res.status(404).json({error: {code: 'not-resident'}});
			return;
		}

		if (this.faults.crashOn !== undefined && chat.messages.some(message => message.content.includes(this.faults.crashOn ?? ''))) {
			// Kills the whole process, as a request that crashes an engine does.
			process.kill(process.pid, 'SIGKILL');
		}

		if (this.isCold() && this.running >= this.opts.coldSlots) {
			this.emitEvent({kind: 'collapsed', requestId});
			res.status(503).json({error: {code: 'collapsed'}});
			return;
		}

		this.begunRequests.push(requestId);
		this.running += 1;
		this.peakRunning = Math.max(this.peakRunning, this.running);
		this.emitRunStart(req, {
			bodyDigest: this.bodyDigests.get(req) ?? '', resumeFrom, running: this.running, completed: this.completed, limit: this.opts.slots, isCold: this.isCold(),
		});
		try {
			const chunks = await (chat.stream ? this.sendStream(req, res, chat, received) : this.sendCompletion(res, chat, requestId));
			received.outcome = resumeFrom + chunks === chat.max_tokens ? 'completed' : 'not-answered';
			this.completed += 1;
			this.emitEvent({
				kind: 'run-ended', requestId, chunks, isComplete: res.writableEnded,
			});
		} finally {
			this.running -= 1;
		}
	}

	private async prefill(): Promise<void> {
		this.prefilling += 1;
		await delay(this.faults.prefillMs ?? this.opts.prefillMs);
		this.prefilling -= 1;
	}

	private async sendCompletion(res: Response, chat: ChatRequest, requestId: string): Promise<number> {
		await this.prefill();
		await delay(chat.max_tokens * this.opts.tokenIntervalMs);
		if (this.faults.loseAnswer) {
			res.destroy();
			return 0;
		}

		const content = Array.from({length: chat.max_tokens}, (_, seq) => getWord(seq)).join('');
		res.json({
			id: requestId,
			object: 'chat.completion',
			model: chat.model,
			choices: [{index: 0, message: {role: 'assistant', content}, finish_reason: 'length'}],
			usage: getUsage(chat),
		});
		return chat.max_tokens;
	}

	/** Returns the number of chunks that were sent. */
	private async sendStream(req: Request, res: Response, chat: ChatRequest, received: ReceivedRequest): Promise<number> {
		const requestId = req.get(REQUEST_ID_HEADER) ?? '';
		res.set({'content-type': 'text/event-stream'}).flushHeaders();
		const heartbeat = setInterval(() => {
			if (this.faults.muteAfterChunks === undefined) {
				res.write(': heartbeat\n\n');
			}
		}, HEARTBEAT_INTERVAL_MS);
		const firstSeq = Number(req.get(RESUME_HEADER) ?? 0);
		try {
			await this.prefill();
			for (let seq = firstSeq; seq < chat.max_tokens; seq++) {
				await this.waitWhileHeld(() => !res.closed && this.faults.holdAfterChunks !== undefined && seq >= this.faults.holdAfterChunks);
				if (res.closed || !this.writeChunk(res, chat, requestId, seq)) {
					return seq - firstSeq;
				}

				received.sentChunks += 1;

				if (!this.faults.isFast) {
					await delay(this.opts.tokenIntervalMs);
				} else if (res.writableNeedDrain) {
					await this.waitForDrain(res);
				}
			}

			res.write('data: [DONE]\n\n');
			res.end();
			return chat.max_tokens - firstSeq;
		} finally {
			clearInterval(heartbeat);
		}
	}

	/** Waits until the write buffer is drained or the connection is closed. */
	private async waitForDrain(res: Response): Promise<void> {
		const closed = new AbortController();
		const abort = (): void => {
			closed.abort();
		};

		res.once('close', abort);
		try {
			await once(res, 'drain', {signal: closed.signal});
		} catch {
			// The connection was closed, which the caller checks with `res.closed`.
		} finally {
			res.off('close', abort);
		}
	}

	/** Returns false if a fault ends the stream before this chunk. */
	private writeChunk(res: Response, chat: ChatRequest, requestId: string, seq: number): boolean {
		if (this.faults.breakAfterChunks !== undefined && seq >= this.faults.breakAfterChunks) {
			this.faults = {};
			res.destroy();
			return false;
		}

		if (this.faults.muteAfterChunks !== undefined && seq >= this.faults.muteAfterChunks) {
			return false;
		}

		const id = this.faults.crossAtChunk === seq ? 'req-of-another-caller' : requestId;
		this.sentChunks += 1;
		const isLast = seq === chat.max_tokens - 1;
		const chunk = {
			id,
			object: 'chat.completion.chunk',
			model: chat.model,
			egretrill: {seq},
			choices: [{index: 0, delta: {content: getWord(seq).padEnd(this.faults.chunkLength ?? 0, '.')}, finish_reason: isLast ? 'length' : null}],
			...(isLast && {usage: getUsage(chat)}),
		};
		res.write(`data: ${JSON.stringify(chunk)}\n\n`);
		return true;
	}
}
