import {setImmediate as nextTurn} from 'node:timers/promises';

/** Resolves once all sockets that have something to read have been read. */
export async function readArrived(): Promise<void> {
	// The first turn may have read some sockets before this was called.
	await nextTurn();
	await nextTurn();
}
