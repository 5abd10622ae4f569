import {expect} from 'chai';
import {filterServices, type QueueReport} from '../../src/forward/index.js';

describe('a report of the queue', () => {
	// Guards against figures of a shortage for services that are to be queued for in each host alone.
	it('names only the services that match', () => {
		const report: QueueReport = {waiting: [['paced', 'm', [[0, 250, 1, 0, 2]]], ['plain', '', [[1, 500, 3, 1, 4]]]], slots: [['paced', 'm', 5], ['plain', '', 6]]};
		expect(filterServices(report, service => service === 'paced')).toMatchSnapshot();
	});
});
