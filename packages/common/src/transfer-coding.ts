import type {IncomingHttpHeaders} from 'node:http';

/** Whether an answer has a transfer coding other than chunks. Callers may not support it, and only the end of the connection may mark its end. */
export function hasOtherCoding({'transfer-encoding': coding}: IncomingHttpHeaders): boolean {
	return coding !== undefined && coding.toLowerCase() !== 'chunked';
}
