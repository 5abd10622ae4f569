import process from 'node:process';
import {expect} from 'chai';
import {
	type Adapter, runTraffic, SettingsSource, type TrafficSettings,
} from '../../src/traffic/index.js';

const READ_ERROR = 'The settings cannot be read.';

/** Records whether the process would survive SIGHUP when its settings are read. */
class RecordingSource extends SettingsSource {
	survivesReload: boolean | undefined;

	override async read(): Promise<TrafficSettings> {
		this.survivesReload = process.listenerCount('SIGHUP') > 0;
		throw new Error(READ_ERROR);
	}
}

describe('runTraffic', () => {
	// Guards against a process that SIGHUP ends while it starts, and with it the requests that it serves already.
	it('handles SIGHUP before it reads its settings for the first time', async () => {
		const source = new RecordingSource();
		const before = process.listeners('SIGHUP');
		let message = '';
		try {
			await runTraffic(source, {} as Adapter);
		} catch (err: unknown) {
			({message} = err as Error);
		}

		for (const listener of process.listeners('SIGHUP').filter(added => !before.includes(added))) {
			process.removeListener('SIGHUP', listener);
		}

		expect({message, survivesReload: source.survivesReload}).to.deep.equal({message: READ_ERROR, survivesReload: true});
	});
});
