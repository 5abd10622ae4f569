import type {FleetNode, FleetState} from '@egretrill/hosts';
import type {SyncResponse} from './methods.js';

export type ServedStateSource = {
	readonly node: Pick<FleetNode, 'hasReplayed' | 'status'>;
	readonly state: Pick<FleetState, 'getTraffic' | 'getZonesOut'>;
};

/** The configuration and the zones out of service for an entry host; a restarted host has none until it has replayed its log. */
export function getServedState({node, state}: ServedStateSource, knownVersion: number): Pick<SyncResponse, 'config' | 'zonesOut' | 'stateIndex'> {
	if (!node.hasReplayed()) {
		return {zonesOut: []};
	}

	const traffic = state.getTraffic();
	return {
		stateIndex: node.status().appliedIndex,
		zonesOut: [...state.getZonesOut()],
		...(traffic && traffic.version > knownVersion && {config: traffic}),
	};
}
