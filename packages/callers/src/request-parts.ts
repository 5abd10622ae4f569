import type {
	AtMostOnceLedger, Clock, EngineChannel, Logger, TargetClient,
} from '@egretrill/common';
import type {ConfigSource} from './config-index.js';
import type {TargetPool} from './target-pool.js';

/** Everything that the handling of one request uses. */
export type RequestParts = {
	readonly hostId: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly config: ConfigSource;
	readonly targets: TargetPool;
	readonly engines: EngineChannel;
	readonly services: TargetClient;
	readonly ledger: AtMostOnceLedger;
	/** Draws one retry from the host's budget. */
	readonly takeRetry: () => boolean;
};
