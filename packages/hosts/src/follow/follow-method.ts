import {type Clock, type Logger} from '@egretrill/common';
import {bindMethod, defineDocumentMethod, type MethodHandler} from '../transport/index.js';
import type {ConfigOrigin} from './config-origin.js';
import type {InForceReports} from './in-force.js';
import {FollowRequest, FollowResponse} from './types.js';

/** The poll by which hosts follow the configuration. */
export const followMethod = defineDocumentMethod('Follow', 'follow', FollowRequest, FollowResponse);

export type FollowServerOptions = {
	readonly hostId: string;
	readonly fleet: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly origin: ConfigOrigin;
	readonly reports: InForceReports;
};

function createResponse({origin, hostId}: FollowServerOptions, haveVersion: number, heldMs: number): FollowResponse {
	const config = origin.getConfig();
	const leaderId = origin.getLeaderId();
	const ageMs = origin.getAgeMs();
	const blocked = origin.getBlocked();
	return {
		version: config?.version ?? 0,
		ageMs: Number.isFinite(ageMs) ? ageMs : Number.MAX_SAFE_INTEGER,
		heldMs,
		via: [hostId, ...origin.getVia()],
		...(leaderId !== undefined && {leaderId}),
		...(config && config.version > haveVersion && {update: origin.getUpdateSince(haveVersion)}),
		...(blocked.length > 0 && {blocked: [...blocked]}),
	};
}

/** Serves the polls of the hosts below this one; a poll waits for a change so that changes travel at once. */
export function bindFollow(opts: FollowServerOptions): MethodHandler {
	const {
		fleet, clock, logger, origin, reports,
	} = opts;
	return bindMethod(followMethod, async req => {
		if (req.fleet !== fleet) {
			logger.warn({hostId: req.hostId, fleet: req.fleet}, 'Refused a host of another fleet.');
			throw new Error('The host belongs to another fleet.');
		}

		const receivedMs = clock.now();
		reports.merge(req.inForce);
		if ((origin.getConfig()?.version ?? 0) <= req.haveVersion && req.waitMs > 0) {
			await origin.changed.wait(clock, req.waitMs);
		}

		return createResponse(opts, req.haveVersion, clock.now() - receivedMs);
	});
}
