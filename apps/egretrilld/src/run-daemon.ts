import process from 'node:process';
import type {ConfigDocument, Settings} from '@egretrill/common';
import {createBlockHasher} from '@egretrill/engines';
import type {DrainReport} from '@egretrill/balancer';
import {createContainer} from './container.js';
import {Daemon} from './daemon.js';
import {readPeerCredentials} from './hosts/peer-credentials.js';

/** Resolves with the reason to stop: the signal received or an operator's request. */
async function waitForStop(daemon: Daemon): Promise<string> {
	return new Promise(resolve => {
		process.once('SIGTERM', resolve);
		process.once('SIGINT', resolve);
		daemon.drainRequested.addEventListener('abort', () => {
			resolve('operator');
		});
	});
}

/** Runs a host in this process until a signal or an operator stops it; resolves with the report of its drain. */
export async function runDaemon(settings: Settings, document: ConfigDocument | undefined): Promise<DrainReport> {
	const credentials = await readPeerCredentials(settings);
	const daemon = new Daemon(createContainer({settings, credentials, hash: await createBlockHasher()}), credentials);
	// The signal handlers are installed before the host serves, since an unhandled signal would terminate the process and its in-flight requests.
	const stopRequested = waitForStop(daemon);
	const starting = new AbortController();
	const abortStart = async (): Promise<void> => {
		await stopRequested;
		starting.abort();
	};

	// A voter whose disk is full waits while it starts.
	void abortStart();
	await daemon.start(document, starting.signal);
	const stopped = daemon.stop(await stopRequested);
	// A second signal stops waiting for in-flight work.
	const forceStop = async (signal: string): Promise<void> => {
		await daemon.stop(signal);
	};

	process.on('SIGTERM', forceStop);
	process.on('SIGINT', forceStop);
	return stopped;
}
