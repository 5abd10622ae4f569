import {ForwardSender} from '@egretrill/callers';
import type {
	OutgoingMessage, SendFailure, TargetAnswer, TurnQueue,
} from '@egretrill/common';
import {ForwardClient} from '@egretrill/engines';
import type {Result} from 'true-myth';

/** Sends forwarded requests over HTTP. */
export class HttpSender extends ForwardSender {
	private readonly client: ForwardClient;

	constructor(turns?: TurnQueue) {
		super();
		this.client = new ForwardClient(turns);
	}

	override async send(message: OutgoingMessage, signal: AbortSignal): Promise<Result<TargetAnswer, SendFailure>> {
		return this.client.send(message, signal);
	}

	/** Whether an idle connection to the address is open. */
	hasIdleConnection(address: string): boolean {
		return this.client.hasIdleConnection(address);
	}

	close(): void {
		this.client.close();
	}
}
