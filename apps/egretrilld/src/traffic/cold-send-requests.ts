import type {Metrics} from '@egretrill/balancer';
import type {Clock} from '@egretrill/common';
import {COLD_GRANT_TTL_MS, type ColdWant} from '@egretrill/engines';
import {MAX_COLD_WANTS} from './constants.js';

export type ColdSendRequestsOptions = {
	readonly clock: Clock;
	/** Time after a call that was not granted in full until the next one. */
	readonly getIntervalMs: () => number;
	/** Resolves with the targets to which the leader grants a send, or with none if it does not answer. */
	readonly requestSends: (wants: readonly ColdWant[]) => Promise<readonly string[]>;
	readonly onGrant: (targetId: string, endMs: number) => void;
	readonly metrics: Metrics;
};

/** Requests sends to cold targets from the leader, in one call at a time for all targets. Waiting requests look for a target again and again, so a want that was not granted need not be kept. */
export class ColdSendRequests {
	private readonly wanted = new Map<string, ColdWant>();
	private isCalling = false;
	private nextCallMs = 0;
	private readonly answers;

	constructor(private readonly opts: ColdSendRequestsOptions) {
		this.answers = opts.metrics.createCounter({name: 'egretrill_cold_send_requests_total', help: 'Sends to cold targets that were requested from the leader, by answer.', labels: ['answer']});
	}

	/** Records that a request wants a cold target, and asks for it unless a call is under way or was not granted a moment ago. */
	async request(want: ColdWant): Promise<void> {
		if (this.wanted.size < MAX_COLD_WANTS) {
			this.wanted.set(want.targetId, want);
		}

		if (this.isCalling || this.opts.clock.now() < this.nextCallMs) {
			return;
		}

		this.isCalling = true;
		await this.call();
		this.isCalling = false;
	}

	private async call(): Promise<void> {
		const {clock, getIntervalMs, requestSends, onGrant} = this.opts;
		const wants = [...this.wanted.values()];
		this.wanted.clear();
		const sentMs = clock.now();
		const grantedIds = await requestSends(wants);
		this.answers.add(grantedIds.length, {answer: 'granted'});
		this.answers.add(wants.length - grantedIds.length, {answer: 'not-granted'});
		this.nextCallMs = grantedIds.length < wants.length ? sentMs + getIntervalMs() : 0;
		for (const targetId of grantedIds) {
			onGrant(targetId, sentMs + COLD_GRANT_TTL_MS);
		}
	}
}
