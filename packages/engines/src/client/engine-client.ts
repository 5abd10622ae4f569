import {Agent} from 'node:http';
import {
	type Clock, EngineChannel, exchangeHttp, type SendFailure, splitForTurns, StreamBrokenError, type StreamItem, type TargetAddress, type TargetRequest, type TargetResponse, toSendFailure, TurnQueue, TurnShare,
} from '@egretrill/common';
import type {Result} from 'true-myth';
import {IDLE_CONNECTION_MS, MAX_IDLE_ENGINE_CONNECTIONS} from '../constants.js';
import {ChunkReader} from './chunk-reader.js';
import {StreamWatchdog} from './stream-watchdog.js';

/** Sends requests to model engines over HTTP. */
export class EngineClient extends EngineChannel {
	private readonly agent = new Agent({keepAlive: true, maxFreeSockets: MAX_IDLE_ENGINE_CONNECTIONS, timeout: IDLE_CONNECTION_MS});
	/** Answers other than 200 do not name their request, so on a kept connection a repeated one could be taken for the next one. Each chunk of a stream names it. */
	private readonly newConnections = new Agent({keepAlive: false});
	/** Shares the event loop among the streams. */
	private readonly turns = new TurnQueue();

	constructor(private readonly clock: Clock) {
		super();
	}

	override async complete(target: TargetAddress, req: TargetRequest, signal: AbortSignal): Promise<Result<TargetResponse, SendFailure>> {
		return exchangeHttp(target, req, signal, this.newConnections);
	}

	override async * stream(target: TargetAddress, req: TargetRequest, signal: AbortSignal): AsyncGenerator<readonly StreamItem[], void> {
		const stop = new AbortController();
		const watchdog = new StreamWatchdog(this.clock, stop);
		let isComplete = false;
		try {
			const answer = await exchangeHttp(target, req, AbortSignal.any([signal, stop.signal]), this.agent);
			if (answer.isErr) {
				throw new StreamBrokenError(answer.error);
			}

			watchdog.recordBytes();

			if (answer.value.status !== 200) {
				throw new StreamBrokenError({accepted: true, code: 'engine-status', reason: `The engine answered with status ${answer.value.status}.`}, answer.value.status);
			}

			const reader = new ChunkReader(req.requestId, req.resumeFrom ?? 0);
			for await (const bytes of this.readParts(answer.value.body)) {
				watchdog.recordBytes();
				const items = reader.read(bytes);
				if (items.some(item => item.kind !== 'heartbeat')) {
					watchdog.recordProgress();
				}

				watchdog.pause();
				yield items;
				watchdog.resume();
				if (items.some(({kind}) => kind === 'done')) {
					watchdog.recordDone();
				}
			}

			reader.finish();
			isComplete = true;
		} catch (err: unknown) {
			throw this.toStreamBrokenError(err, watchdog);
		} finally {
			watchdog.close();
			if (!isComplete) {
				// Closing the connection cancels the request at the engine if the consumer stops reading early.
				stop.abort();
			}
		}
	}

	close(): void {
		this.agent.destroy();
		this.newConnections.destroy();
	}

	/** Yields a body in parts, and lets other work go on in between where it arrives fast. */
	private async * readParts(body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
		const share = new TurnShare(this.turns);
		for await (const chunk of body) {
			for (const part of splitForTurns(chunk)) {
				yield part;
				await share.spend(part.length);
			}
		}
	}

	private toStreamBrokenError(err: unknown, watchdog: StreamWatchdog): StreamBrokenError {
		const cause = watchdog.getCause();
		if (cause !== undefined) {
			return new StreamBrokenError({accepted: true, code: cause, reason: `The stream was ended: ${cause}.`});
		}

		return err instanceof StreamBrokenError ? err : new StreamBrokenError(toSendFailure(err));
	}
}
