#!/usr/bin/env node
import process from 'node:process';
import {Engine, streamEvents} from '../stand-ins/engine.mjs';

// A server in trouble, in a process of its own: some of its answers go on without end with bytes that are no answer.
const {controls, zone, everyNth} = JSON.parse(process.argv[2]);
const emptyLines = '\n'.repeat(65_536);
let served = 0;

/** Sends empty lines until the caller closes, as fast as the caller takes them. */
function sendWithoutEnd(req, res, engine) {
	engine.sign(req, res);
	res.writeHead(200, {'Content-Type': 'text/event-stream'});
	const fill = () => {
		while (!res.destroyed && res.write(emptyLines)) {
			// The buffer takes more.
		}
	};

	res.on('drain', fill);
	fill();
}

const engine = new Engine({
	service: 'llm', zone, controls, models: [{name: 'm1', version: 1, adapters: []}], async run(req, res) {
		served += 1;
		if (everyNth > 0 && served % everyNth === 0) {
			console.log(`engine ${engine.id} answers ${req.headers['x-attempt-id']} with empty lines without end`);
			res.once('close', () => {
				console.log(`the caller of ${req.headers['x-attempt-id']} has closed`);
			});
			sendWithoutEnd(req, res, engine);
			return;
		}

		await streamEvents(req, res, engine, {count: 56, intervalMs: 25});
	},
});
await engine.start();
console.log('ready');
