import {MAX_ENGINE_COUNTS, MAX_UNCONFIRMED_WINDOWS} from './constants.js';
import type {
	EngineCount, FleetCommandOf, FleetResult, FleetSnapshot,
} from './types.js';

type Transition = {readonly state: FleetSnapshot; readonly result: FleetResult};

/** Settles windows that come after all settled ones. The first entry that names a window decides on its counts, also if a leader with an unknown outcome proposes it again with others. */
export function settleUsage(state: FleetSnapshot, {windows}: FleetCommandOf<'settleUsage'>): Transition {
	let {settledThrough, unconfirmed} = state.usage;
	for (const settled of windows) {
		if (settled.window > settledThrough) {
			settledThrough = settled.window;
			unconfirmed = [...unconfirmed, settled].slice(-MAX_UNCONFIRMED_WINDOWS);
		}
	}

	return {state: {...state, usage: {settledThrough, unconfirmed}}, result: {kind: 'usage', settledThrough}};
}

/** Records that the provider has confirmed a window. */
export function confirmUsage(state: FleetSnapshot, {window}: FleetCommandOf<'confirmUsage'>): Transition {
	const {settledThrough, unconfirmed} = state.usage;
	const usage = {settledThrough, unconfirmed: unconfirmed.filter(settled => settled.window !== window)};
	return {state: {...state, usage}, result: {kind: 'usage', settledThrough}};
}

function putEngineCount(state: FleetSnapshot, put: EngineCount): Transition {
	const others = state.engineCounts.filter(({service, zone}) => service !== put.service || zone !== put.zone);
	return {state: {...state, engineCounts: [...others, put].slice(-MAX_ENGINE_COUNTS)}, result: {kind: 'engine-counts'}};
}

/** Records an order before it is sent, so that a new leader sends it again or knows it. */
export function orderEngines(state: FleetSnapshot, {service, zone, count}: FleetCommandOf<'orderEngines'>): Transition {
	return putEngineCount(state, {
		service, zone, count, isAccepted: false,
	});
}

/** Records that the provider has accepted an order, unless another one has replaced it. */
export function acceptEngines(state: FleetSnapshot, {service, zone, count}: FleetCommandOf<'acceptEngines'>): Transition {
	const isLast = state.engineCounts.some(known => known.service === service && known.zone === zone && known.count === count);
	return isLast
		? putEngineCount(state, {
			service, zone, count, isAccepted: true,
		})
		: {state, result: {kind: 'engine-counts'}};
}
