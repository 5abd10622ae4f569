import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {pipeline} from 'node:stream/promises';
import {ForwardClient} from '@egretrill/engines';
import express from 'express';
import got from 'got';

// The forwarder runs in a separate process, so that only its own processor time is measured.
async function readBody(req: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of req) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks);
}

/** Forwards requests as entry hosts do: raw headers in both directions, and the chunks of the answer's body as they arrive. */
function createPlainForwarder(target: string): Server {
	const client = new ForwardClient();
	const forward = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const body = await readBody(req);
		const result = await client.send({
			address: target, method: req.method ?? 'GET', url: req.url ?? '/', headers: [...req.rawHeaders], body, mayReuse: true,
		}, new AbortController().signal);
		if (result.isErr) {
			res.writeHead(502).end();
			return;
		}

		const {status, rawHeaders, body: answer} = result.value;
		res.writeHead(status, [...rawHeaders]);
		for await (const chunk of answer) {
			res.write(chunk);
		}

		res.end();
	};

	return createServer((req, res) => {
		void forward(req, res);
	});
}

/** Forwards requests with express and got, the project's usual HTTP libraries. */
function createLibraryForwarder(target: string): Server {
	const app = express();
	app.use(async (req, res) => {
		const body = await readBody(req);
		const stream = got.stream(`http://${target}${req.url}`, {
			method: req.method as 'POST', headers: req.headers, body: Buffer.from(body), throwHttpErrors: false, decompress: false, retry: {limit: 0},
		});
		stream.once('response', (answer: IncomingMessage) => {
			res.writeHead(answer.statusCode ?? 502, answer.headers);
		});
		await pipeline(stream, res);
	});
	return createServer(app);
}

const [kind, target = ''] = process.argv.slice(2);
const server = kind === 'express-got' ? createLibraryForwarder(target) : createPlainForwarder(target);
server.listen(0, '127.0.0.1', () => {
	process.send?.({port: (server.address() as AddressInfo).port});
});
process.on('message', () => {
	const {user, system} = process.cpuUsage();
	process.send?.({cpuMs: (user + system) / 1000});
});
