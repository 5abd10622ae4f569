import {
	ForwardSender, type OutgoingMessage, type TargetAnswer,
} from '@egretrill/callers';
import type {SendFailure} from '@egretrill/common';
import {ForwardClient} from '@egretrill/engines';
import type {Result} from 'true-myth';

/** Sends forwarded requests over HTTP. */
export class HttpSender extends ForwardSender {
	private readonly client = new ForwardClient();

	override async send(message: OutgoingMessage, signal: AbortSignal): Promise<Result<TargetAnswer, SendFailure>> {
		const sent = await this.client.send(message, signal);
		return sent.map(({message: res, framing, isComplete}) => ({
			status: res.statusCode ?? 0,
			rawHeaders: res.rawHeaders,
			body: res as AsyncIterable<Uint8Array>,
			framing,
			isComplete,
			discard() {
				res.resume();
			},
			destroy() {
				res.destroy();
			},
		}));
	}

	close(): void {
		this.client.close();
	}
}
