import {createHash} from 'node:crypto';
import process from 'node:process';

const NANOSECONDS_PER_MS = 1e6;

/** Reads the system's monotonic clock, which unlike `performance.now()` has the same origin in every process. */
export function getMonotonicMs(): number {
	return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS;
}

/** Returns a short digest that identifies a body in recorded events. */
export function getBodyDigest(body: string | Uint8Array): string {
	return createHash('sha256').update(body).digest('hex').slice(0, 16);
}
