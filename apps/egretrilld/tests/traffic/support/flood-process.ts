import process from 'node:process';
import {floods} from './floods.js';
import {SIGNED} from './forward-host.js';
import {RawTarget} from './raw-target.js';

const FLOOD_BYTES = 4_000_000_000;

// A target in a process of its own, so that the work of sending does not delay the host. A path names what it sends without end; others are answered.
const target = await RawTarget.open(async peer => {
	const head = await peer.readHead();
	const flood = floods.find(({name}) => head.startsWith(`GET /${encodeURIComponent(name)} `));
	if (!flood) {
		await peer.write(`HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 5\r\n\r\nsound`);
		return;
	}

	await peer.write(flood.head);
	await peer.flood(flood.text, FLOOD_BYTES);
});
process.send?.(target.address);
process.once('disconnect', () => {
	process.exit();
});
