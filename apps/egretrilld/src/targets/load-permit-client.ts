import {randomUUID} from 'node:crypto';
import type {Clock} from '@egretrill/common';
import {type LoadPermit, LoadPermits} from '@egretrill/engines';
import type {PeerDirectory} from '@egretrill/hosts';
import {LOAD_PERMIT_POLL_MS} from '../constants.js';
import {loadPermitMethod, loadReleaseMethod} from '../methods.js';

export type LoadPermitClientOptions = {
	readonly hostId: string;
	readonly clock: Clock;
	readonly peers: PeerDirectory;
	readonly getLeaderId: () => string | undefined;
};

/** Requests weight-store load permits from the leader. */
export class LoadPermitClient extends LoadPermits {
	constructor(private readonly opts: LoadPermitClientOptions) {
		super();
	}

	override async acquire(kind: 'model' | 'adapter', urgent: boolean, timeoutMs: number, signal: AbortSignal): Promise<LoadPermit | undefined> {
		const {hostId, clock, peers, getLeaderId} = this.opts;
		const deadlineMs = clock.now() + timeoutMs;
		const req = {
			requestId: randomUUID(), holder: hostId, kind, urgency: urgent ? 'urgent' as const : 'speculative' as const,
		};
		while (!signal.aborted && clock.now() < deadlineMs) {
			const leaderId = getLeaderId();
			const answer = leaderId === undefined ? undefined : await peers.call(leaderId, loadPermitMethod, req);
			if (answer?.isOk && answer.value.granted) {
				return this.createPermit(answer.value.permitId);
			}

			const pauseMs = answer?.isOk && !answer.value.granted ? answer.value.retryAfterMs : LOAD_PERMIT_POLL_MS;
			await clock.sleep(Math.min(pauseMs, Math.max(0, deadlineMs - clock.now())), signal);
		}

		return undefined;
	}

	private createPermit(permitId: string): LoadPermit {
		return {
			release: () => {
				const leaderId = this.opts.getLeaderId();
				if (leaderId !== undefined) {
					// A lost release only delays others until the permit expires.
					void this.opts.peers.call(leaderId, loadReleaseMethod, {permitId});
				}
			},
		};
	}
}
