import {expect} from 'chai';
import {formatFaults, parseConfigDocument, parseSettings} from '../src/index.js';

describe('restoring YAML documents', () => {
	it('names file, line, path and expectation for each fault, so that operators need not guess', () => {
		const text = 'version: 0\nfleet: demo\nzones: []\ncustomers:\n  - id: atlas\n    weight: -1\nkeys: []\nroutes: []\nmodels: []\nweightStore:\n  loadsPerSecond: 2\nextra: true\n';
		const result = parseConfigDocument(text);
		expect(result.isErr && formatFaults('config.yaml', result.error)).toMatchSnapshot();
	});

	it('reports broken YAML with its line instead of throwing', () => {
		const result = parseSettings('host: a\n  zone: [b\n');
		expect(result.isErr && formatFaults('settings.yaml', result.error)).toMatchSnapshot();
	});
});
