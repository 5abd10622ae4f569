import {ConfigInForce, operations} from '@egretrill/operators';
import {RawServer, writeUntilClosed} from '@egretrill/testkit';
import {expect} from 'chai';
import {AdminClient} from '../src/admin-client.js';

const OPERATION = operations.getConfig;
/** Well above the largest reply that the client reads plus the socket buffers of a connection. */
const MANY_BYTES = 268_435_456;

describe('client of the operators\' API', () => {
	// Guards against an endless reply that fills the memory of the command line until the call times out.
	it('aborts an endless reply', async () => {
		let sent: Promise<number> | undefined;
		const host = await RawServer.start(socket => {
			socket.write('HTTP/1.1 200 OK\r\n\r\n');
			sent = writeUntilClosed(socket);
		});
		const answer = await new AdminClient({url: `http://${host.address}`, credential: 'secret'}).call({operation: OPERATION}, ConfigInForce);
		const bytes = await sent ?? 0;
		host.stop();
		expect({failure: answer.isErr && answer.error, isBounded: bytes < MANY_BYTES}).toMatchSnapshot();
	});
});
