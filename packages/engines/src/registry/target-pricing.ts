import {MS_PER_GENERATED_TOKEN} from '../loading/constants.js';
import {estimateCompletion, type ExpectedCompletion, type RequestWork} from './expected-completion.js';
import {clampSlowdown, type HostSpeeds, type ObservedStream} from './host-speeds.js';
import {getRecentOthers, type Target} from './tracked-target.js';
import type {ExpectedWork, TargetRequirements} from './types.js';

export type TargetPricingOptions = {
	readonly speeds: HostSpeeds;
	/** How much this host prefers a target, from 0 to 1. */
	readonly getPreference: (targetId: string) => number;
	readonly hasIdleConnection: (address: string) => boolean;
};

/** Work of one request, and whether it may use an open connection. */
export type PricedWork = RequestWork & {readonly mayReuseConnection: boolean};

/** What the table knows of a target for one request. */
export type PricedTarget = {readonly target: Target; readonly slots: number; readonly cachedTokens: number; readonly nowMs: number};

/** Supplies the figures for the expected completion of requests, for services whose targets report their current speed. */
export class TargetPricing {
	constructor(private readonly opts: TargetPricingOptions) {}

	/** Returns the work of a request; undefined if its targets are compared by their load only. */
	getWork({service, model, work}: TargetRequirements): PricedWork | undefined {
		if (!work || !this.opts.speeds.isActive(service)) {
			return undefined;
		}

		const {promptTokens, targetLatencyMs, mayReuseConnection} = work;
		return {
			promptTokens, targetLatencyMs, mayReuseConnection, outputMs: this.getOutputMs(service, model, work),
		};
	}

	estimate({mayReuseConnection, ...work}: PricedWork, {target, slots, cachedTokens, nowMs}: PricedTarget): ExpectedCompletion {
		const {registration: {targetId, startedAtMs, address}, slowdown, slowdownReportedMs} = target;
		target.preference ??= this.opts.getPreference(targetId);
		return estimateCompletion(work, {
			speed: this.opts.speeds.getSpeed(targetId, startedAtMs) ?? 1,
			slowdown,
			slowdownAgeMs: nowMs - slowdownReportedMs,
			ownRequests: target.ownRequests,
			otherRequests: getRecentOthers(target, nowMs),
			slots,
			cachedTokens,
			preference: target.preference,
			// A request that must not be repeated opens a connection wherever it is sent.
			hasIdleConnection: !mayReuseConnection || this.opts.hasIdleConnection(address),
		});
	}

	/** Records how much longer than usual a target says that work takes there. */
	recordSlowdown(target: Target, slowdown: number, nowMs: number): void {
		target.slowdown = clampSlowdown(slowdown);
		target.slowdownReportedMs = nowMs;
		this.opts.speeds.recordSlowdown(target.registration.service, target.slowdown);
	}

	/** Records a stream that a target has sent. */
	recordStream({registration: {service, targetId, startedAtMs}}: Target, stream: Pick<ObservedStream, 'model' | 'events' | 'durationMs' | 'slowdown'>): void {
		this.opts.speeds.recordStream({
			service, targetId, startedAtMs, ...stream,
		});
	}

	private getOutputMs(service: string, model: string | undefined, {outputTokens, outputEvents, answerMs}: ExpectedWork): number {
		if (answerMs !== undefined) {
			return answerMs;
		}

		const paceMs = model === undefined ? undefined : this.opts.speeds.getPaceMs(service, model);
		return outputEvents === undefined || paceMs === undefined ? outputTokens * MS_PER_GENERATED_TOKEN : outputEvents * paceMs;
	}
}
