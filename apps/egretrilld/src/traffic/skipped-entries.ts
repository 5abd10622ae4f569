import type {RegistryUpdate} from '@egretrill/engines';
import type {RateLimitedLog} from './rate-limited-log.js';

/** Message of the log line about entries that a control host of another version passed on. */
export const SKIPPED_ENTRIES_MESSAGE = 'Invalid entries of targets were skipped.';

/** Warns if entries of an update were skipped. */
export function warnOfSkippedEntries(log: RateLimitedLog, peer: string, {skippedIds}: RegistryUpdate): void {
	if (skippedIds) {
		log.warn({peer, targetId: skippedIds.find(id => id !== '') ?? ''}, {skipped: skippedIds.length});
	}
}
