import {expect} from 'chai';
import {ForwardHost, SIGNED} from './support/forward-host.js';
import {callRaw} from './support/raw-caller.js';
import {RawTarget} from './support/raw-target.js';

/** Sends a request to a host whose only target answers with the status; describes what the caller and the target's slot are told. */
async function runRequest(status: string): Promise<string> {
	const target = await RawTarget.open(async peer => {
		await peer.readHead();
		await peer.write(`HTTP/1.1 ${status} X\r\n${SIGNED}Content-Length: 3\r\n\r\nodd`);
	});
	const host = await ForwardHost.open({targets: [target.address]});
	const answer = await callRaw(host.port);
	const {verdict} = /"verdict":"(?<verdict>[^"]+)"/v.exec(answer.body)?.groups ?? {};
	host.close();
	target.close();
	return `${status}: ${answer.status} ${verdict ?? answer.body}, ${host.slots.released.map(({outcome}) => outcome).join(',')}`;
}

describe('an answer with an invalid status', () => {
	// Guards against a caller that gets the status of an engine in trouble, which says nothing of its request.
	it('reaches the caller as a failure after which the request may have run', async () => {
		const outcomes: string[] = [];
		for (const status of ['000', '099', '599', '600', '999']) {
			outcomes.push(await runRequest(status));
		}

		expect(outcomes).toMatchSnapshot();
	});
});
