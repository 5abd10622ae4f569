import {createCodec} from '@egretrill/common';
import {expect} from 'chai';
import {type FleetCommand, FleetSnapshot, FleetState} from '../src/index.js';
import {MAX_UNCONFIRMED_WINDOWS} from '../src/constants.js';

function apply(state: FleetState, ...commands: readonly FleetCommand[]): void {
	for (const command of commands) {
		state.apply(state.encode(command));
	}
}

function settle(...windows: ReadonlyArray<readonly [window: number, count: number]>): FleetCommand {
	return {kind: 'settleUsage', windows: windows.map(([window, count]) => ({window, counts: [['a', count]]}))};
}

describe('state of the duties', () => {
	// Guards against counts of a settled window that change when a second entry names it, before or after its confirmation.
	it('keeps the first counts of each window', () => {
		const state = new FleetState();
		apply(state, settle([5, 1], [6, 2]), settle([6, 9], [7, 3]), {kind: 'confirmUsage', window: 5}, settle([5, 9]));
		expect(state.getUsage()).toMatchSnapshot();
	});

	// Guards against snapshots that grow while the provider is down.
	it('bounds the windows that are not confirmed', () => {
		const state = new FleetState();
		for (let window = 0; window < MAX_UNCONFIRMED_WINDOWS + 3; window++) {
			apply(state, settle([window, 1]));
		}

		const {settledThrough, unconfirmed} = state.getUsage();
		expect({settledThrough, first: unconfirmed[0]?.window, length: unconfirmed.length}).to.deep.equal({settledThrough: MAX_UNCONFIRMED_WINDOWS + 2, first: 3, length: MAX_UNCONFIRMED_WINDOWS});
	});

	// Guards against an acceptance that arrives late and is taken for that of a newer order.
	it('records the acceptance of the last order only', () => {
		const state = new FleetState();
		const order = {service: 's', zone: 'z', count: 14};
		apply(state, {kind: 'orderEngines', ...order}, {kind: 'orderEngines', ...order, count: 15}, {kind: 'acceptEngines', ...order});
		const first = state.getEngineCounts();
		apply(state, {kind: 'acceptEngines', ...order, count: 15});
		expect({first, last: state.getEngineCounts()}).toMatchSnapshot();
	});

	// Guards against hosts that cannot read the snapshot of an earlier build.
	it('restores a snapshot without duties', () => {
		const state = new FleetState();
		apply(state, settle([5, 1]));
		const codec = createCodec(FleetSnapshot);
		const {usage: _usage, engineCounts: _engineCounts, ...earlier} = codec.decode(state.snapshot());
		state.prepareRestore(codec.encode(earlier as FleetSnapshot))();
		expect({usage: state.getUsage(), engineCounts: state.getEngineCounts()}).to.deep.equal({usage: {settledThrough: -1, unconfirmed: []}, engineCounts: []});
	});
});
