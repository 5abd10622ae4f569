import {Socket} from 'node:net';
import {expect} from 'chai';
import {ConnectionMonitor} from '../../src/client/index.js';

describe('ConnectionWatch', () => {
	// Guards against a host that ends because a connection fails while no exchange listens to it.
	it('bears the error of a connection to which no exchange listens', async () => {
		const socket = new Socket();
		const watch = new ConnectionMonitor(socket);
		const closed = new Promise(resolve => {
			socket.once('close', resolve);
		});
		socket.destroy(new Error('aborted'));
		await closed;
		expect(watch).to.be.an.instanceOf(ConnectionMonitor);
		expect(socket.errored).to.be.an('error');
	});
});
