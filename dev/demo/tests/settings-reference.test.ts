import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {createSettingsReference} from '../src/settings-reference.js';

describe('settings reference', () => {
	it('matches the schemas, so that the page cannot fall behind them', async () => {
		expect(await readFile('docs/settings.md', 'utf8')).to.equal(createSettingsReference());
	});
});
