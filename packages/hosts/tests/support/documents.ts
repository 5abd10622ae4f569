import {ConfigDocument} from '@egretrill/common';
import type {FleetCommand} from '../../src/types.js';

/** Creates a small document; a different `memoryMb` gives a different document. */
export function createDocument(memoryMb = 1): ConfigDocument {
	return ConfigDocument.parse({
		version: 1,
		fleet: 'test',
		zones: [{id: 'z1', region: 'r'}, {id: 'z2', region: 'r'}],
		customers: [],
		keys: [{id: 'k1', customer: 'c1', digest: '0'.repeat(64)}],
		routes: [],
		models: [],
		accelerators: [{target: 't1', memoryMb}],
		weightStore: {loadsPerSecond: 1, concurrentLoads: 1, concurrentAdapterLoads: 1},
	});
}

export function createApply(follows: number, name: string): FleetCommand {
	return {
		kind: 'apply', document: createDocument(follows + 1), follows, digest: `digest ${name}`, requestId: `request ${name}`, author: `author ${name}`,
	};
}
