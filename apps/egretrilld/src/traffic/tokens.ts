import type {Metrics} from '@egretrill/balancer';
import type {
	Clock, Logger, LoopWatch, Random,
} from '@egretrill/common';
import type {PeerCredentials} from '@egretrill/hosts';
import type {ServiceIdentifier} from 'inversify';
import type {Adapter} from './adapter.js';
import type {ControlHost} from './control-host.js';
import type {EntryHost} from './entry-host.js';

/** Service identifiers of the parts of a host that discovers the others through seeds. */
export const trafficTokens = {
	adapter: Symbol.for('adapter') as ServiceIdentifier<Adapter>,
	clock: Symbol.for('clock') as ServiceIdentifier<Clock>,
	random: Symbol.for('random') as ServiceIdentifier<Random>,
	logger: Symbol.for('logger') as ServiceIdentifier<Logger>,
	metrics: Symbol.for('metrics') as ServiceIdentifier<Metrics>,
	watch: Symbol.for('watch') as ServiceIdentifier<LoopWatch>,
	credentials: Symbol.for('credentials') as ServiceIdentifier<PeerCredentials>,
	control: Symbol.for('control') as ServiceIdentifier<ControlHost>,
	entry: Symbol.for('entry') as ServiceIdentifier<EntryHost>,
};
