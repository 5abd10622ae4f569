import type {OutgoingMessage, SendFailure, TargetAnswer} from '@egretrill/common';
import {Result} from 'true-myth';
import {ForwardSender} from '../forward-dependencies.js';

/** Sends the attempts of one request. An exception of the sender becomes a failure after which the request may have run. */
export class GuardedSender extends ForwardSender {
	private lastAnswer: TargetAnswer | undefined;

	constructor(private readonly sender: ForwardSender) {
		super();
	}

	override async send(message: OutgoingMessage, signal: AbortSignal): Promise<Result<TargetAnswer, SendFailure>> {
		try {
			const sent = await this.sender.send(message, signal);
			this.lastAnswer = sent.isOk ? sent.value : undefined;
			return sent;
		} catch (err: unknown) {
			return Result.err({accepted: true, code: 'ERR_SENDER', reason: err instanceof Error ? err.message : 'The exchange failed.'});
		}
	}

	/** Closes the connection of an answer that nothing reads any more. */
	destroyLastAnswer(): void {
		this.lastAnswer?.destroy();
	}
}
