import type {RequestListener} from 'node:http';
import type {UnreadyReason} from '@egretrill/balancer';
import type {ForwardDialect} from '@egretrill/callers';
import type {EngineOrders} from '@egretrill/engines';
import type {ProviderCalls, ProviderSettings} from '@egretrill/provider';
import type {ConfigDecoder} from './config-decoder.js';
import type {ControlService} from './control-service.js';

/** Translates between this product and the platform that it runs on. */
export abstract class Adapter {
	abstract readonly dialect: ForwardDialect;
	abstract readonly decoder: ConfigDecoder;
	abstract createOrders(): EngineOrders;
	abstract createProviderCalls(settings: ProviderSettings): ProviderCalls;
	/** Creates the HTTP app that serves targets and operators. */
	abstract createControlApp(service: ControlService): RequestListener;
	/** Creates the readiness endpoint for the load balancer. */
	abstract createReadyApp(getUnreadyReasons: () => readonly UnreadyReason[]): RequestListener;
}
