import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer} from 'node:net';
import process from 'node:process';
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

/** The part of the port range for this process; test processes that run at the same time have different ones. */
function getPortRange(): {readonly first: number; readonly count: number} {
	const [index = 0, parts = 1] = (process.env.EGRETRILL_TEST_PORTS ?? '').split('/').filter(part => part !== '').map(Number);
	const count = Math.floor(PORT_COUNT / parts);
	return {first: FIRST_PORT + (index * count), count};
}

/** Finds free ports for addresses that several processes have in their settings before they start. */
export async function findPorts(count: number): Promise<readonly number[]> {
	const {first, count: rangeCount} = getPortRange();
	const ports: number[] = [];
	while (ports.length < count) {
		const port = first + randomInt(rangeCount);
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
