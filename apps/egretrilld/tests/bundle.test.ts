import {execFile} from 'node:child_process';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';
import {createLocalConfig, Fleet, getConfig} from '@egretrill/testkit';
import {expect} from 'chai';

const zones = ['zone-a'];

describe('the bundled daemon', () => {
	// Guards against a module that is missing from the bundle but resolvable from the daemon's own folder; the bundle therefore runs elsewhere.
	it('starts, becomes ready and drains', async () => {
		const dir = await mkdtemp(path.join(tmpdir(), 'egretrill-bundle-'));
		const file = path.join(dir, 'egretrilld.mjs');
		await promisify(execFile)(process.execPath, [path.join(import.meta.dirname, '../bundle.js'), file]);
		const fleet = await Fleet.start({
			fleet: 'local', zones, config: createLocalConfig(zones), nodeArgs: [file],
		});
		const host = fleet.getHost(0);
		expect(await getConfig(host)).to.include({version: 1});
		expect(await host.terminate()).to.equal(0);
		await fleet.stop();
		await rm(dir, {recursive: true, force: true});
	});
});
