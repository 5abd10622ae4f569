import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {createSettingsReference} from '../src/settings-reference.js';

describe('settings reference', () => {
	it('is up to date with the schemas', async () => {
		expect(await readFile('docs/settings.md', 'utf8')).to.equal(createSettingsReference());
	});
});
