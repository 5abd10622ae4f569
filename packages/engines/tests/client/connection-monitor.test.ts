import {Socket} from 'node:net';
import {expect} from 'chai';
import {ConnectionMonitor} from '../../src/client/index.js';

describe('ConnectionMonitor', () => {
	// Guards against a process that crashes because a connection fails between two requests, while no request handles its error event.
	it('handles the error of a connection that no request is using', async () => {
		const socket = new Socket();
		const monitor = new ConnectionMonitor(socket);
		const closed = new Promise(resolve => {
			socket.once('close', resolve);
		});
		socket.destroy(new Error('aborted'));
		await closed;
		expect(monitor).to.be.an.instanceOf(ConnectionMonitor);
		expect(socket.errored).to.be.an('error');
	});
});
