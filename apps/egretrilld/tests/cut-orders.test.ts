import type {Order} from '@egretrill/common';
import {FencingOrderChannel, type HttpOrderChannel, UnfencedOrderChannel} from '@egretrill/engines';
import {callCutServer, type CutEnding, runCuts} from '@egretrill/testkit';
import {expect} from 'chai';

const order: Order = {
	orderId: 'o1', fencing: 3, expiresInMs: 300, kind: 'load-model', model: 'a', version: 'v1',
};

const channels = {fencing: new FencingOrderChannel(), unfenced: new UnfencedOrderChannel()} as const;

const answers = {
	'accepted, by length': 'HTTP/1.1 202 Accepted\r\nContent-Length: 5\r\n\r\nbegun',
	'accepted, after interim answers': 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 202 Accepted\r\n\r\nbegun',
	'refused, by chunks': 'HTTP/1.1 400 Bad Request\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n',
	'stale, HTTP/1.0': 'HTTP/1.0 409 Conflict\r\n\r\nother',
	'a switch of protocols': 'HTTP/1.1 101 Switching Protocols\r\n\r\n',
	'a switch to a protocol': 'HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n',
} as const;

async function sendOrder(channel: HttpOrderChannel, address: string): Promise<string> {
	const {result} = await channel.send({targetId: 't1', startId: 's1', address}, order, () => true, new AbortController().signal);
	return result;
}

async function runAnswers(channel: HttpOrderChannel, ending: CutEnding): Promise<Record<string, unknown>> {
	const results: Record<string, unknown> = {};
	for (const [name, text] of Object.entries(answers)) {
		// An answer that is not cut shows that its rows differ from it.
		results[name] = await runCuts(ending.endsWith('FIN') ? text.length + 1 : text.length, async cut => callCutServer({text, cut, ending}, async address => sendOrder(channel, address)));
	}

	return results;
}

describe('the answer to an order that is cut at any byte', () => {
	for (const [name, channel] of Object.entries(channels)) {
		for (const ending of ['FIN', 'late RST', 'last byte and RST'] as const) {
			// Guards against an order that counts as accepted, refused or not sent although the engine has not said so.
			it(`leaves its outcome unknown until the head is whole, ${name} channel, cut by ${ending}`, async () => {
				expect(await runAnswers(channel, ending)).toMatchSnapshot();
			});
		}
	}

	// Guards against an order whose sender waits beyond its expiry for an engine that has stopped in the middle of its answer.
	it('leaves its outcome unknown at the expiry when the engine keeps the connection open', async () => {
		const text = answers['accepted, by length'];
		expect(await runCuts(text.length, async cut => callCutServer({text, cut, ending: 'held open'}, async address => sendOrder(channels.fencing, address)))).toMatchSnapshot();
	});
});
