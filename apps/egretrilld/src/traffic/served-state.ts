import type {FleetNode, FleetState} from '@egretrill/hosts';
import {toCrashRecord} from '../crash-log.js';
import type {SyncResponse} from './methods.js';

export type ServedStateSource = {
	readonly node: Pick<FleetNode, 'hasReplayed' | 'status'>;
	readonly state: Pick<FleetState, 'getCrashes' | 'getTraffic' | 'getZonesOut'>;
	readonly getTimeOfDayMs: () => number;
};

/** The configuration, the zones out of service and, for a host that has just started, the stored evidence on crashes for an entry host; a restarted host has none until it has replayed its log. */
export function getServedState({node, state, getTimeOfDayMs}: ServedStateSource, knownVersion: number): Pick<SyncResponse, 'config' | 'crashes' | 'zonesOut' | 'stateIndex'> {
	if (!node.hasReplayed()) {
		return {zonesOut: []};
	}

	const traffic = state.getTraffic();
	// A host that has just started serves as soon as it has a configuration, which any control host may send before the leader's evidence arrives.
	const crashes = knownVersion === 0 ? state.getCrashes() : [];
	const timeOfDayMs = getTimeOfDayMs();
	return {
		stateIndex: node.status().appliedIndex,
		zonesOut: [...state.getZonesOut()],
		...(traffic && traffic.version > knownVersion && {config: traffic}),
		...(crashes.length > 0 && {crashes: crashes.map(crash => toCrashRecord(crash, timeOfDayMs))}),
	};
}
