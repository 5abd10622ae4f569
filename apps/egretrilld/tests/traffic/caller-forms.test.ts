import {setTimeout} from 'node:timers/promises';
import {expect} from 'chai';
import {CallerSocket, describeAnswers} from './support/caller-socket.js';
import {ForwardHost, SIGNED} from './support/forward-host.js';
import {RawTarget} from './support/raw-target.js';

const ANSWER_MS = 100;
const HOST = 'Host: app.test\r\n';

/** Sends bytes to a host with one target that answers after a pause; returns what the caller received and the number of requests at the target. */
async function send(text: string, finish: (caller: CallerSocket) => void = () => undefined): Promise<string> {
	let passedOn = 0;
	const target = await RawTarget.open(async peer => {
		await peer.readHead();
		passedOn += 1;
		await setTimeout(ANSWER_MS);
		await peer.write(`HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 5\r\n\r\nwhole`);
	});
	const host = await ForwardHost.open({targets: [target.address]});
	const caller = await CallerSocket.open(host.port);
	caller.write(text);
	finish(caller);
	const received = describeAnswers(await caller.readToEnd());
	host.close();
	target.close();
	return `${received}; ${passedOn} passed on`;
}

describe('a whole request', () => {
	// Guards against a request in a rare form that gets neither an answer nor a refusal.
	it('gets an answer or a refusal in each form that HTTP allows', async () => {
		expect({
			'HTTP/1.0': await send('GET / HTTP/1.0\r\n\r\n'),
			'HTTP/1.0, kept connection': await send(`GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET / HTTP/1.0\r\n${HOST}\r\n`),
			'Expect: 100-continue': await send(`POST / HTTP/1.1\r\n${HOST}Connection: close\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx`),
			'another expectation': await send(`POST / HTTP/1.1\r\n${HOST}Connection: close\r\nExpect: other\r\nContent-Length: 1\r\n\r\nx`),
			'no host': await send('GET / HTTP/1.1\r\n\r\n'),
			upgrade: await send(`GET / HTTP/1.1\r\n${HOST}Connection: upgrade, close\r\nUpgrade: other\r\n\r\n`),
			connect: await send(`CONNECT app.test:80 HTTP/1.1\r\n${HOST}\r\n`),
		}).toMatchSnapshot();
	});

	// A caller that closes its connection sends the same bytes as one that closes only its sending side, so both count as callers that left.
	it('is abandoned when its caller closes its sending side', async () => {
		expect(await send(`GET / HTTP/1.1\r\n${HOST}\r\n`, ({socket}) => {
			socket.end();
		})).toMatchSnapshot();
	});
});
