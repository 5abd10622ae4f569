import type {Logger, Order} from '@egretrill/common';
import {OrderChannel, type OrderTarget, type SendOutcome} from '@egretrill/engines';
import type {EvidenceLog} from '@egretrill/monitor';

/** Appends each order to the evidence log before it is sent to the engine, and logs its outcome. */
export class RecordingChannel extends OrderChannel {
	constructor(private readonly channel: OrderChannel, private readonly logger: Logger, private readonly getEvidence: () => EvidenceLog | undefined) {
		super();
	}

	override async send(target: OrderTarget, order: Order, mayWrite: () => boolean, signal: AbortSignal): Promise<SendOutcome> {
		await this.getEvidence()?.append({kind: 'order-given', target: target.targetId, order});
		const outcome = await this.channel.send(target, order, mayWrite, signal);
		this.logger.info({targetId: target.targetId, order, outcome}, 'Order sent.');
		return outcome;
	}
}
