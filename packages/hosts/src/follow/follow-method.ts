import {type Clock, type Logger} from '@egretrill/common';
import {bindMethod, defineDocumentMethod, type MethodHandler} from '../transport/index.js';
import type {VersionedConfigSource} from './versioned-config-source.js';
import type {InForceReports} from './in-force-reports.js';
import {FollowRequest, FollowResponse} from './types.js';

/** Long poll with which a host follows the configuration of its parent. */
export const followMethod = defineDocumentMethod('Follow', 'follow', FollowRequest, FollowResponse);

export type FollowServerOptions = {
	readonly hostId: string;
	readonly fleet: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly source: VersionedConfigSource;
	readonly reports: InForceReports;
	/** Evidence on what ends targets, for the followers. */
	readonly listCrashes: () => readonly unknown[];
};

function createResponse({source, hostId, listCrashes}: FollowServerOptions, haveVersion: number, heldMs: number): FollowResponse {
	const config = source.getConfig();
	const leaderId = source.getLeaderId();
	const ageMs = source.getAgeMs();
	const crashes = listCrashes();
	return {
		version: config?.version ?? 0,
		ageMs: Number.isFinite(ageMs) ? ageMs : Number.MAX_SAFE_INTEGER,
		heldMs,
		via: [hostId, ...source.getVia()],
		...(leaderId !== undefined && {leaderId}),
		...(config && config.version > haveVersion && {update: source.getUpdateSince(haveVersion)}),
		...(crashes.length > 0 && {crashes: [...crashes]}),
	};
}

/** Serves the polls of the followers; each poll is held until a change, so that changes propagate immediately. */
export function bindFollowMethod(opts: FollowServerOptions): MethodHandler {
	const {
		fleet, clock, logger, source, reports,
	} = opts;
	return bindMethod(followMethod, async req => {
		if (req.fleet !== fleet) {
			logger.warn({hostId: req.hostId, fleet: req.fleet}, 'Refused a host of another fleet.');
			throw new Error('The host belongs to another fleet.');
		}

		const receivedMs = clock.now();
		reports.merge(req.inForce);
		if ((source.getConfig()?.version ?? 0) <= req.haveVersion && req.waitMs > 0) {
			await source.changed.wait(clock, req.waitMs);
		}

		return createResponse(opts, req.haveVersion, clock.now() - receivedMs);
	});
}
