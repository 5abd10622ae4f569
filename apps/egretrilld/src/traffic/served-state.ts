import type {FleetNode, FleetState} from '@egretrill/hosts';
import {toCrashRecord} from '../crash-log.js';
import type {SyncResponse} from './methods.js';

export type ServedStateSource = {
	readonly node: Pick<FleetNode, 'hasReplayed' | 'status'>;
	readonly state: Pick<FleetState, 'getCrashes' | 'getTraffic' | 'getZonesOut'>;
	readonly getTimeOfDayMs: () => number;
};

/** What an entry host has, and how it receives a newer configuration. */
export type KnownConfig = {readonly configVersion: number; readonly receivesParts?: boolean | undefined};

/** The configuration or its version, the zones out of service and, for a host that has just started, the stored evidence on crashes for an entry host; a restarted host has none until it has replayed its log. */
export function getServedState({node, state, getTimeOfDayMs}: ServedStateSource, {configVersion, receivesParts = false}: KnownConfig): Pick<SyncResponse, 'config' | 'configVersion' | 'crashes' | 'zonesOut' | 'stateIndex'> {
	if (!node.hasReplayed()) {
		return {zonesOut: []};
	}

	const current = state.getTraffic();
	const traffic = current && current.version > configVersion ? current : undefined;
	// A host that has just started serves as soon as it has a configuration, which any control host may send before the leader's evidence arrives.
	const crashes = configVersion === 0 ? state.getCrashes() : [];
	const timeOfDayMs = getTimeOfDayMs();
	return {
		stateIndex: node.status().appliedIndex,
		zonesOut: [...state.getZonesOut()],
		...(traffic && (receivesParts ? {configVersion: traffic.version} : {config: traffic})),
		...(crashes.length > 0 && {crashes: crashes.map(crash => toCrashRecord(crash, timeOfDayMs))}),
	};
}
