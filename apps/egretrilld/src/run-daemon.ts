import process from 'node:process';
import type {ConfigDocument, Settings} from '@egretrill/common';
import {createBlockHasher} from '@egretrill/engines';
import type {DrainReport} from '@egretrill/balancer';
import {createContainer} from './container.js';
import {Daemon} from './daemon.js';
import {readPeerCredentials} from './hosts/peer-credentials.js';

/** Resolves with why the daemon shall stop. */
async function waitForStop(daemon: Daemon): Promise<string> {
	return new Promise(resolve => {
		process.once('SIGTERM', resolve);
		process.once('SIGINT', resolve);
		daemon.drainRequested.addEventListener('abort', () => {
			resolve('operator');
		});
	});
}

/** Runs a host in this process until a signal or an operator stops it, and tells how it ended. */
export async function runDaemon(settings: Settings, document: ConfigDocument | undefined): Promise<DrainReport> {
	const credentials = await readPeerCredentials(settings);
	const daemon = new Daemon(createContainer({settings, credentials, hash: await createBlockHasher()}), credentials);
	// Signals are taken before the host serves, since one without a handler would end the process and its requests at once.
	const stopRequested = waitForStop(daemon);
	await daemon.start(document);
	const stopped = daemon.stop(await stopRequested);
	// A further signal ends the wait for begun work.
	const forceStop = async (signal: string): Promise<void> => {
		await daemon.stop(signal);
	};

	process.on('SIGTERM', forceStop);
	process.on('SIGINT', forceStop);
	return stopped;
}
