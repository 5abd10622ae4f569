import {ConfigInForce, operations} from '@egretrill/operators';
import {RawServer, writeUntilClosed} from '@egretrill/testkit';
import {expect} from 'chai';
import {AdminClient} from '../src/admin-client.js';

const OPERATION = operations.getConfig;
/** Well above the largest reply that is read, and what the buffers of a connection hold. */
const MANY_BYTES = 268_435_456;

describe('client of the operators\' API', () => {
	// Guards against a reply without end that fills the memory of the command line until its time is over.
	it('ends a reply without end', async () => {
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
