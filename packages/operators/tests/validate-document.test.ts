import {expect} from 'chai';
import {checkDocument, getDigest, validateDocument} from '../src/index.js';
import {createDocument} from './memory-fleet.js';

const rate = {
	tokensPerSecond: 1, burstTokens: 255, requestsPerSecond: 1, burstRequests: 1,
};
const model = {
	id: 'm1', version: 'v1', memoryMb: 10_000, kvReserveMb: 2000,
};

describe('validating a document', () => {
	it('accepts a document without faults', () => {
		expect(validateDocument(createDocument(), createDocument())).to.deep.equal([]);
	});

	it('reports every kind of fault at once, so that operators need not send a document again for each', () => {
		const document = createDocument({
			fleet: 'other',
			zones: [{id: 'a', region: 'r', state: 'taken-out'}, {id: 'a', region: 'r', state: 'taken-out'}],
			customers: [{id: 'atlas', rate}, {id: 'atlas', rate}],
			keys: [{id: 'k1', customer: 'nobody', digest: getDigest('k1')}, {id: 'k1', customer: 'atlas', digest: getDigest('k1')}],
			routes: [
				{kind: 'model', path: '/v1', idempotent: true},
				{kind: 'model', path: '/v1/', idempotent: true},
				{
					kind: 'service', path: '/v1/orders', service: 'unknown', idempotent: false,
				},
				{kind: 'model', path: '/v10', idempotent: true},
			],
			models: [
				{...model, adapters: [{id: 'ad1', memoryMb: 1}, {id: 'ad1', memoryMb: 1}]},
				model,
				{...model, id: 'm2', memoryMb: 11_000},
				{...model, id: 'm3', memoryMb: 23_000},
			],
			services: [{id: 's'}, {id: 's'}],
			accelerators: [{target: 't1', memoryMb: 24_000}, {target: 't1', memoryMb: 24_000}],
			placements: {
				pins: [{model: 'm1', target: 't1'}, {model: 'm2', target: 't1'}, {model: 'm9', target: 't9'}],
				forbids: [{model: 'm1', target: 't1'}, {model: 'm8', target: 't8'}],
			},
		});
		expect(validateDocument(document, createDocument())).toMatchSnapshot();
	});

	it('words schema faults as expectations and truncates long values, so that a fault reads as a sentence', () => {
		const input = {
			...createDocument(),
			version: 0,
			fleet: 'x'.repeat(300),
			zones: [],
			customers: [{
				id: '<b>', weight: 'much', rate: {...rate, burstRequests: 0.5}, keyLeaseMs: 20_000,
			}],
			keys: 'none',
			routes: [{kind: 'other', path: '/', idempotent: 'yes'}],
			models: [{
				id: 'm1', version: 'v1', memoryMb: -1, kvReserveMb: null,
			}],
			extra: true,
			__proto__x: 1,
		};
		const check = checkDocument(input);
		expect(!check.isValid && check.faults.map(({path, expected, found}) => `${path}: expected ${expected}, found ${found}`)).toMatchSnapshot();
	});
});
