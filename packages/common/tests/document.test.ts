import {expect} from 'chai';
import {formatFaults, parseConfigDocument, parseSettings} from '../src/index.js';

describe('parsing YAML documents', () => {
	it('reports file, line, path and expected value of each fault, so that operators can correct it', () => {
		const text = 'version: 0\nfleet: demo\nzones: []\ncustomers:\n  - id: atlas\n    weight: -1\nkeys: []\nroutes: []\nmodels: []\nweightStore:\n  loadsPerSecond: 2\nextra: true\n';
		const result = parseConfigDocument(text);
		expect(result.isErr && formatFaults('config.yaml', result.error)).toMatchSnapshot();
	});

	it('reports invalid YAML with its line instead of throwing', () => {
		const result = parseSettings('host: a\n  zone: [b\n');
		expect(result.isErr && formatFaults('settings.yaml', result.error)).toMatchSnapshot();
	});
});
