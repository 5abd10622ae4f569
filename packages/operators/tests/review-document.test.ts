import {expect} from 'chai';
import {getDigest, reviewDocument} from '../src/index.js';
import {createDocument} from './memory-fleet.js';

const model = {
	id: 'm1', version: 'v1', memoryMb: 10_000, kvReserveMb: 2000,
};

describe('reviewing a document', () => {
	it('finds nothing in a consistent document that is in force', () => {
		expect(reviewDocument(createDocument(), createDocument())).to.deep.equal([]);
	});

	// Guards against a document that is sent although parts of it can never have an effect.
	it('warns of entries that no request can use', () => {
		const [customer] = createDocument().customers;
		const services = createDocument({
			customers: [customer, {...customer, id: 'idle'}],
			keys: [{id: 'k1', customer: 'atlas', digest: getDigest('k1')}, {
				id: 'k2', customer: 'idle', digest: getDigest('k2'), state: 'withdrawn',
			}],
			routes: [{
				kind: 'service', path: '/orders', service: 'casting', access: 'open', idempotent: false,
			}],
			services: [{id: 'casting'}, {id: 'unrouted'}],
		});
		const noModel = createDocument({models: [], placements: {}});
		expect([services, noModel].map(document => reviewDocument(document))).toMatchSnapshot();
	});

	// Guards against an operator who removes one of two equal entries and expects the other not to count.
	it('warns of pins and forbids that repeat an earlier one', () => {
		const pin = {model: 'm1', target: 't1'};
		const forbid = {model: 'm1', target: 't2'};
		const document = createDocument({
			accelerators: [{target: 't1', memoryMb: 24_000}, {target: 't2', memoryMb: 24_000}],
			placements: {pins: [pin, pin], forbids: [forbid, forbid, forbid]},
		});
		expect(reviewDocument(document).map(({code, path}) => `${code} ${path}`)).to.deep.equal([
			'repeated-placement placements.pins.1', 'repeated-placement placements.forbids.1', 'repeated-placement placements.forbids.2',
		]);
	});

	// Guards against copies and adapters that placement can never load.
	it('warns of limits that cannot all be met', () => {
		const document = createDocument({
			models: [{...model, minCopies: 2, adapters: [{id: 'ad1', memoryMb: 13_000}]}, {...model, id: 'm2', minCopies: 2}],
			accelerators: [{target: 't1', memoryMb: 24_000}, {target: 't2', memoryMb: 12_000}],
			placements: {forbids: [{model: 'm2', target: 't2'}]},
		});
		expect(reviewDocument(document)).toMatchSnapshot();
	});

	it('gives each error a code', () => {
		const document = createDocument({
			fleet: 'other', services: [], routes: [{kind: 'model', path: '/v1', idempotent: true}, {
				kind: 'service', path: '/v1/orders', service: 'casting', idempotent: true,
			}],
		});
		expect(reviewDocument(document, createDocument()).filter(({kind}) => kind === 'error')).toMatchSnapshot();
	});

	it('lists added, removed and changed entries, whatever their order', () => {
		const {zones, models} = createDocument();
		const document = createDocument({
			zones: [zones[1], {...zones[0], state: 'taken-out'}],
			models: [{...models[0], version: 'v2'}],
			accelerators: [{target: 't1', memoryMb: 24_000}, {target: 't2', memoryMb: 24_000}],
			placements: {},
			weightStore: {loadsPerSecond: 3, concurrentLoads: 9, concurrentAdapterLoads: 70},
		});
		expect(reviewDocument(document, createDocument())).toMatchSnapshot();
	});
});
