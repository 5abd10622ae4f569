import {expect} from 'chai';
import got from 'got';
import {ForwardHost, SIGNED} from './support/forward-host.js';
import {RawTarget} from './support/raw-target.js';

const BODY = 'order 1';

describe('a request beside targets with unusable addresses', () => {
	async function send(targets: readonly string[]): Promise<unknown> {
		const host = await ForwardHost.open({targets});
		try {
			const res = await got.post(`http://127.0.0.1:${host.port}/orders`, {body: BODY, retry: {limit: 0}, throwHttpErrors: false});
			return {
				status: res.statusCode, body: res.body, attempts: host.observer.attempts.map(({outcome}) => outcome), ends: host.observer.ends.length,
			};
		} finally {
			host.close();
		}
	}

	// Guards against one odd entry that closes the connections of callers whose requests the next target could serve.
	it('is served by the next target, or refused as not run', async () => {
		const target = await RawTarget.open(async peer => {
			await peer.readHead();
			await peer.write(`HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 4\r\n\r\ndone`);
		});
		const odd = ['127.0.0.1:99999', '127.0.0.1', 'a b:80', ''];
		const outcomes = {served: await send([...odd, target.address]), refused: await send(odd)};
		target.close();
		expect(outcomes).toMatchSnapshot();
	});
});
