import type {Logger} from '@egretrill/common';

/** A connection that was open and is no longer trusted. */
export type ReplacedConnection = {
	readonly address: string;
	/** `unresponsive` if calls on it timed out, `idle` if another connection has gone silent. */
	readonly reason: 'unresponsive' | 'idle';
	/** Time since the last frame was received. */
	readonly unheardMs: number;
};

/** Is told of the connections of a host that are replaced. */
export abstract class ConnectionObserver {
	abstract recordReplaced(replaced: ReplacedConnection): void;
}

/** Writes a line for each connection that is replaced. */
export class ConnectionLog extends ConnectionObserver {
	constructor(private readonly logger: Logger) {
		super();
	}

	override recordReplaced({address, reason, unheardMs}: ReplacedConnection): void {
		this.logger.info({peer: address, reason, unheardMs: Math.round(unheardMs)}, 'A silent connection to another host is replaced.');
	}
}
