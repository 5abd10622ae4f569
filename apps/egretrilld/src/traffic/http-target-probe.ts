import {TargetProbe} from '@egretrill/callers';
import {isConnectionRefused} from '@egretrill/engines';

/** Probes targets by opening a connection. */
export class HttpTargetProbe extends TargetProbe {
	override async isRefused(address: string): Promise<boolean> {
		return isConnectionRefused(address);
	}
}
