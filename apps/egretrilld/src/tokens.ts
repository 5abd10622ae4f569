import type {Clock, Logger, Settings} from '@egretrill/common';
import type {RequestParts, TargetPool} from '@egretrill/callers';
import type {ConfigOrigin, InForceReports} from '@egretrill/hosts';
import type {ServiceIdentifier} from 'inversify';
import type {PeerDirectory} from './peer-directory.js';

/** Names under which the parts of the daemon are bound. */
export const tokens = {
	settings: Symbol('settings') as ServiceIdentifier<Settings>,
	clock: Symbol('clock') as ServiceIdentifier<Clock>,
	logger: Symbol('logger') as ServiceIdentifier<Logger>,
	peers: Symbol('peers') as ServiceIdentifier<PeerDirectory>,
	reports: Symbol('reports') as ServiceIdentifier<InForceReports>,
	origin: Symbol('origin') as ServiceIdentifier<ConfigOrigin>,
	targets: Symbol('targets') as ServiceIdentifier<TargetPool>,
	requestParts: Symbol('request parts') as ServiceIdentifier<RequestParts>,
};
