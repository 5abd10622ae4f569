import {MAX_MESSAGE_BYTES} from '@egretrill/common';
import {SESSION_MAX_METHOD_CALLS} from '../constants.js';

/** Bytes of calls that one session may have under way: two of the longest ones. */
const MAX_CALL_BYTES = 2 * MAX_MESSAGE_BYTES;
/** Calls up to this size are not refused for the bytes of others; heartbeats without entries are among them. */
const SMALL_CALL_BYTES = 4096;

/** The calls of one session that are under way. They are limited for each method, so that calls of one method do not hold up heartbeats. */
export class RunningCalls {
	private readonly counts = new Map<string, number>();
	private bytes = 0;

	/** Adds a call, unless too many are under way. */
	tryStart(path: string, bytes: number): boolean {
		const count = this.counts.get(path) ?? 0;
		const hasRoom = bytes <= SMALL_CALL_BYTES || this.bytes + bytes <= MAX_CALL_BYTES;
		if (count >= SESSION_MAX_METHOD_CALLS || !hasRoom) {
			return false;
		}

		this.counts.set(path, count + 1);
		this.bytes += bytes;
		return true;
	}

	/** Removes a call that has been answered. */
	end(path: string, bytes: number): void {
		this.counts.set(path, (this.counts.get(path) ?? 0) - 1);
		this.bytes -= bytes;
	}
}
