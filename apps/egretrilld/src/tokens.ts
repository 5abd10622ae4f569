import type {
	Clock, Logger, Random, Settings,
} from '@egretrill/common';
import type {ConfigSource, RequestParts} from '@egretrill/callers';
import type {EngineClient, RoutingPolicy, TargetDirectory} from '@egretrill/engines';
import type {ConfigOrigin, InForceReports} from '@egretrill/hosts';
import type {Drain, Metrics} from '@egretrill/platform';
import type {ServiceIdentifier} from 'inversify';
import type {DirectoryPool} from './directory-pool.js';
import type {DirectorySync} from './directory-sync.js';
import type {PeerDirectory} from './peer-directory.js';
import type {ZoneStates} from './zone-conditions.js';

function createToken<T>(name: string): ServiceIdentifier<T> {
	return Symbol(`egretrilld.${name}`);
}

/** Names under which the parts of the daemon are bound. */
export const tokens = {
	settings: createToken<Settings>('settings'),
	clock: createToken<Clock>('clock'),
	random: createToken<Random>('random'),
	logger: createToken<Logger>('logger'),
	peers: createToken<PeerDirectory>('peers'),
	reports: createToken<InForceReports>('reports'),
	origin: createToken<ConfigOrigin>('origin'),
	config: createToken<ConfigSource>('config'),
	zones: createToken<ZoneStates>('zones'),
	directory: createToken<TargetDirectory>('directory'),
	directorySync: createToken<DirectorySync>('directory sync'),
	policy: createToken<RoutingPolicy>('policy'),
	pool: createToken<DirectoryPool>('pool'),
	engines: createToken<EngineClient>('engines'),
	drain: createToken<Drain>('drain'),
	metrics: createToken<Metrics>('metrics'),
	requestParts: createToken<RequestParts>('request parts'),
} as const;
