import type {
	ConfigSource, CrashGate, CrashReporter, CrashTracker, QueueSet, RequestDependencies, ShareHolder,
} from '@egretrill/callers';
import type {
	Clock, Logger, Random, Settings,
} from '@egretrill/common';
import type {
	ColdPermitHolder, DemandEstimator, EngineClient, PrefixCacheEstimate, RoutingPolicy, TargetDirectory, ZoneOwner,
} from '@egretrill/engines';
import type {
	ConfigFollower, FleetLog, FleetNode, FleetState, InForceReports, PeerDirectory, VersionedConfigSource, ZoneLeaseClient,
} from '@egretrill/hosts';
import type {PromiseCounters} from '@egretrill/monitor';
import type {FleetControl} from '@egretrill/operators';
import type {Drain, Metrics} from '@egretrill/balancer';
import type {ServiceIdentifier} from 'inversify';
import type {CrashLog} from './crash-log.js';
import type {LeaderDuties} from './hosts/leader-duties.js';
import type {EvidenceHolder} from './monitor/evidence-holder.js';
import type {DaemonView} from './monitor/daemon-view.js';
import type {PromiseAudit} from './monitor/promise-audit.js';
import type {DirectoryPool} from './targets/directory-pool.js';
import type {DirectorySync} from './targets/directory-sync.js';
import type {ZoneDuties} from './targets/zone-duties.js';
import type {ZoneStates} from './targets/zone-states.js';

function createToken<T>(name: string): ServiceIdentifier<T> {
	return Symbol(`egretrilld.${name}`);
}

/** Parts that only hosts with a member of the replicated log have. */
export type Voter = {readonly node: FleetNode; readonly state: FleetState; readonly duties: LeaderDuties};

/** Service identifiers of the daemon's parts in the container. */
export const tokens = {
	settings: createToken<Settings>('settings'),
	clock: createToken<Clock>('clock'),
	random: createToken<Random>('random'),
	logger: createToken<Logger>('logger'),
	drain: createToken<Drain>('drain'),
	/** Aborts when this host has drained and ends. */
	stopping: createToken<AbortController>('stopping'),
	metrics: createToken<Metrics>('metrics'),
	promises: createToken<PromiseCounters>('promises'),
	audit: createToken<PromiseAudit>('audit'),
	evidence: createToken<EvidenceHolder>('evidence'),
	peers: createToken<PeerDirectory>('peers'),
	reports: createToken<InForceReports>('reports'),
	/** Undefined on hosts without a member of the replicated log. */
	crashLog: createToken<CrashLog | undefined>('crash log'),
	/** Undefined on hosts without a member of the replicated log. */
	voter: createToken<Voter | undefined>('voter'),
	follower: createToken<ConfigFollower>('follower'),
	versionedConfig: createToken<VersionedConfigSource>('origin'),
	log: createToken<FleetLog>('log'),
	lease: createToken<ZoneLeaseClient>('lease'),
	config: createToken<ConfigSource>('config'),
	zones: createToken<ZoneStates>('zones'),
	directory: createToken<TargetDirectory>('directory'),
	directorySync: createToken<DirectorySync>('directory sync'),
	prefixCache: createToken<PrefixCacheEstimate>('belief'),
	policy: createToken<RoutingPolicy>('policy'),
	permits: createToken<ColdPermitHolder>('permits'),
	demand: createToken<DemandEstimator>('demand'),
	owner: createToken<ZoneOwner>('zone owner'),
	zoneDuties: createToken<ZoneDuties>('zone duties'),
	pool: createToken<DirectoryPool>('pool'),
	engines: createToken<EngineClient>('engines'),
	shares: createToken<ShareHolder>('shares'),
	queues: createToken<QueueSet>('queues'),
	crashes: createToken<CrashTracker>('crashes'),
	crashGate: createToken<CrashGate>('crash-gate'),
	crashReporter: createToken<CrashReporter>('crash-reporter'),
	requestDependencies: createToken<RequestDependencies>('request parts'),
	control: createToken<FleetControl>('control'),
	view: createToken<DaemonView>('view'),
} as const;
