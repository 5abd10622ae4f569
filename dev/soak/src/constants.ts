import type {SoakRoute} from '@egretrill/platform/testing';
import type {RequestKind} from './types.js';

/** Time from SIGTERM until the platform kills a process. */
export const GRACE_SECONDS = 8;

/** A stream that was sent up to this long after the SIGTERM may be cut off in the last sixth of the grace period. */
export const EXCUSED_ARRIVAL_MS = 3000;
export const EXCUSED_END_MS = GRACE_SECONDS * 1000 * 5 / 6;

/** A stop counts as the cause of what happens until this long after the grace period. */
export const STOP_REACH_MS = (GRACE_SECONDS * 1000) + 1000;

/** A connection may end without an answer up to this long after the last byte of a request that was not passed on. */
export const LOSS_SLACK_MS = 200;

/** How often callers learn which hosts are ready; the balancer needs as long. */
export const READY_POLL_MS = 300;

/** Pauses of a caller between two requests. Many are long, so that requests arrive on idle connections at each moment of a stop. */
export const MAX_SHORT_PAUSE_MS = 150;
export const MAX_LONG_PAUSE_MS = 6000;
export const LONG_PAUSE_RATIO = 0.4;

export const CONTROL_HOSTS = 3;
export const TARGETS = 4;

/** Routes of the configuration; the time limits are those of the users' deployments. */
export const routes: ReadonlyArray<SoakRoute & {readonly kind: RequestKind}> = [
	{
		kind: 'draft', prefix: 'drafts', wireKind: 'streaming', timeoutMs: 12_000, maxAttempts: 2, isResumable: true,
	},
	{
		kind: 'caption', prefix: 'captions', wireKind: 'streaming', timeoutMs: 4000, maxAttempts: 1, isResumable: false,
	},
	{
		kind: 'lookup', prefix: 'lookups', wireKind: 'idempotent', timeoutMs: 800, maxAttempts: 2, isResumable: false,
	},
	{
		kind: 'order', prefix: 'orders', wireKind: 'non_idempotent', timeoutMs: 1500, maxAttempts: 1, isResumable: false,
	},
];
