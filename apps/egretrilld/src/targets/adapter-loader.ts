import type {TargetRequirements} from '@egretrill/callers';
import type {Clock, Logger} from '@egretrill/common';
import type {Choice} from '@egretrill/engines';
import type {PeerDirectory} from '@egretrill/hosts';
import {ADAPTER_CALL_DEADLINE_MS, ADAPTER_RETRY_MS} from '../constants.js';
import {adapterLoadMethod} from '../methods.js';

export type AdapterLoaderOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly peers: PeerDirectory;
	readonly getZoneOwner: (zone: string) => string | undefined;
};

/** Requests adapter loads from zone owners for requests of this host. */
export class AdapterLoader {
	private readonly pendingLoads = new Map<string, Promise<boolean>>();

	constructor(private readonly opts: AdapterLoaderOptions) {}

	/** Loads the adapter on the chosen target through the owner of its zone; concurrent requests for the same adapter share one call. */
	async load({targetId, startId, zone}: Pick<Choice, 'targetId' | 'startId' | 'zone'>, {model, adapter}: TargetRequirements): Promise<boolean> {
		if (model === undefined || adapter === undefined) {
			return false;
		}

		const key = `${targetId}/${startId}/${model}/${adapter}`;
		const pending = this.pendingLoads.get(key);
		if (pending !== undefined) {
			return pending;
		}

		const call = this.call(zone, {targetId, model, adapter});
		this.pendingLoads.set(key, call);
		const isLoaded = await call;
		this.pendingLoads.delete(key);
		return isLoaded;
	}

	private async call(zone: string, adapterRequest: {readonly targetId: string; readonly model: string; readonly adapter: string}): Promise<boolean> {
		const {clock, logger, peers, getZoneOwner} = this.opts;
		const owner = getZoneOwner(zone);
		const answer = owner === undefined ? undefined : await peers.call(owner, adapterLoadMethod, adapterRequest, ADAPTER_CALL_DEADLINE_MS);
		const isLoaded = answer?.isOk === true && answer.value.isLoaded;
		logger.info({...adapterRequest, isLoaded}, 'Adapter load requested.');
		if (!isLoaded) {
			// Without the pause, the requests that wait for the adapter would retry immediately.
			await clock.sleep(ADAPTER_RETRY_MS);
		}

		return isLoaded;
	}
}
