import process from 'node:process';
import {getPort, startEntryHost} from './entry-fixture.js';

const SLOTS = 10_000;

/** What the process of an entry host reports: its port when it has started, and its peak memory when it is asked. */
export type EntryProcessReport = {readonly port: number} | {readonly peakBytes: number};

function report(message: EntryProcessReport): void {
	process.send?.(message);
}

// Serves callers until its parent disconnects, with the target whose address is the first argument.
const host = await startEntryHost(process.argv[2] ?? '', {timeoutMs: 60_000, isStream: process.argv[3] === 'stream'}, {slots: SLOTS});
process.on('message', () => {
	report({peakBytes: process.resourceUsage().maxRSS * 1024});
});
report({port: getPort(host)});
process.once('disconnect', () => {
	process.exit();
});
