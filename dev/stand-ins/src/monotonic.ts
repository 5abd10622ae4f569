import {createHash} from 'node:crypto';
import process from 'node:process';

const NANOSECONDS_PER_MS = 1e6;

/** The system's monotonic clock; unlike `performance.now()` it has the same origin in every process. */
export function getMonotonicMs(): number {
	return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS;
}

/** Identifies a body in recorded events. */
export function getBodyDigest(body: string | Uint8Array): string {
	return createHash('sha256').update(body).digest('hex').slice(0, 16);
}
