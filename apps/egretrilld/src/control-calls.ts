import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Drain} from '@egretrill/balancer';
import type {Clock} from '@egretrill/common';
import {CallerConnections} from './traffic/caller-connections.js';
import {CALL_END_TIMEOUT_MS} from './traffic/constants.js';

/** The calls of targets and operators to a control host, which are answered before it ends. */
export class ControlCalls {
	private readonly drain: Drain;
	private readonly connections: CallerConnections;

	constructor(server: Server, private readonly clock: Clock) {
		this.drain = new Drain({clock, deadlineMs: CALL_END_TIMEOUT_MS, balancerWaitMs: 0});
		this.connections = new CallerConnections(server, () => () => undefined);
		server.prependListener('request', (_req: IncomingMessage, res: ServerResponse) => {
			res.once('close', this.drain.trackWork('call'));
		});
	}

	/** Waits until the calls that have arrived are answered, and closes the connections. */
	async end(): Promise<void> {
		const {clock} = this;
		await this.connections.stopAccepting(AbortSignal.timeout(CALL_END_TIMEOUT_MS));
		await this.drain.waitUntilEnded(CALL_END_TIMEOUT_MS);
		await this.connections.close(clock);
	}
}
