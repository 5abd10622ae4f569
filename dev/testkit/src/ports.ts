import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer} from 'node:net';
import {FIRST_PORT, PORT_COUNT} from './constants.js';

async function isFree(port: number): Promise<boolean> {
	const server = createServer();
	server.listen(port, '127.0.0.1');
	try {
		await once(server, 'listening');
	} catch {
		return false;
	}

	server.close();
	await once(server, 'close');
	return true;
}

/** Ports that this process has allocated; they are never reused, because a stopped daemon needs its ports again when it restarts. */
const allocated = new Set<number>();

/** Finds free ports for addresses that several processes have in their settings before they start. */
export async function findPorts(count: number): Promise<readonly number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const port = FIRST_PORT + randomInt(PORT_COUNT);
		if (allocated.has(port)) {
			continue;
		}

		allocated.add(port);
		if (await isFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}
