import {StreamBrokenError, type StreamItem, type TargetAddress} from '@egretrill/common';
import type {
	AttemptResult, DeliveredStream, Exchange, StreamTimes, TargetRequestBuilder,
} from './exchange-types.js';

type StreamProgress = {
	deliveredChunks: number;
	isTextDelivered: boolean;
	completionTokens: number | undefined;
	isDone: boolean;
	receivedChunks: number;
	firstMs: number | undefined;
	lastMs: number;
};

function formatItem(item: StreamItem): string {
	switch (item.kind) {
		case 'chunk': {
			return `data: ${item.data}\n\n`;
		}

		case 'heartbeat': {
			return ': heartbeat\n\n';
		}

		case 'done': {
			return 'data: [DONE]\n\n';
		}
	}
}

function formatItems(items: readonly StreamItem[]): string {
	let text = '';
	for (const item of items) {
		text += formatItem(item);
	}

	return text;
}

function recordItems(progress: StreamProgress, items: readonly StreamItem[], nowMs: number): void {
	for (const item of items) {
		if (item.kind === 'chunk') {
			progress.receivedChunks += 1;
			progress.firstMs ??= nowMs;
			progress.lastMs = nowMs;
			progress.deliveredChunks = item.seq + 1;
			progress.isTextDelivered ||= item.isLastOfText ?? false;
			progress.completionTokens = item.completionTokens ?? progress.completionTokens;
		} else if (item.kind === 'done') {
			progress.isDone = true;
		}
	}
}

function getTimes({receivedChunks, firstMs, lastMs}: StreamProgress, startedMs: number): {readonly times?: StreamTimes} {
	if (firstMs === undefined) {
		return {};
	}

	return {times: {firstTokenMs: firstMs - startedMs, ...(receivedChunks > 1 && {betweenTokensMs: (lastMs - firstMs) / (receivedChunks - 1)})}};
}

/** Makes one streamed attempt and relays it to the caller, from the first chunk that the caller does not have yet. */
export async function relayStream(exchange: Exchange, target: TargetAddress, delivered: DeliveredStream, buildRequest: TargetRequestBuilder): Promise<AttemptResult> {
	const {reply, signal, deps} = exchange;
	const startedMs = deps.clock.now();
	const progress: StreamProgress = {
		...delivered, completionTokens: undefined, isDone: false, receivedChunks: 0, firstMs: undefined, lastMs: startedMs,
	};
	try {
		for await (const items of deps.engines.stream(target, buildRequest(delivered.deliveredChunks), signal)) {
			// Data after the engine's end marker is read only so that the connection can be reused.
			if (items.length === 0 || progress.isDone) {
				continue;
			}

			if (!progress.isTextDelivered && items.some(item => item.kind === 'done' && item.hasNoChunks)) {
				throw new StreamBrokenError({accepted: true, code: 'early-end', reason: 'The engine ended a resumed stream without a chunk.'});
			}

			if (!reply.isStarted) {
				reply.start(200, {'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-store', 'x-request-id': exchange.req.requestId});
			}

			await reply.write(formatItems(items));
			recordItems(progress, items, deps.clock.now());
			exchange.sent?.recordEvent();
			if (progress.isDone) {
				// Ending the answer right away sends its end together with its last chunk.
				await reply.end();
			}
		}

		return {kind: 'completed', tokens: progress.completionTokens ?? progress.deliveredChunks, ...getTimes(progress, startedMs)};
	} catch (err: unknown) {
		if (signal.aborted || !(err instanceof StreamBrokenError)) {
			return {kind: 'cancelled', isUnsent: err instanceof StreamBrokenError && !err.failure.accepted};
		}

		if (progress.isDone) {
			// The end marker has reached the caller, so the answer is complete although the connection failed afterwards.
			return {kind: 'completed', tokens: progress.completionTokens ?? progress.deliveredChunks, ...getTimes(progress, startedMs)};
		}

		return {
			kind: 'failed', failure: err.failure, deliveredChunks: progress.deliveredChunks, isTextDelivered: progress.isTextDelivered,
		};
	}
}
