import {type Announcement, REQUEST_ID_HEADER} from '@egretrill/common';
import express, {type Express} from 'express';
import {SERVICE_CONCURRENCY_LIMIT} from './constants.js';
import {getBodyDigest} from './monotonic.js';
import {StandInTarget} from './target.js';

export type ServiceOptions = {
	readonly targetId: string;
	readonly zone: string;
	readonly service: string;
	readonly hosts: readonly string[];
};

/** A service that records each call that it runs. */
export class StandInService extends StandInTarget {
	/** Bodies of all calls that ran, in order. */
	readonly runs: string[] = [];

	constructor(private readonly opts: ServiceOptions) {
		super(opts.hosts);
	}

	override getAnnouncement(): Announcement {
		return {
			targetId: this.opts.targetId,
			startId: this.startId,
			zone: this.opts.zone,
			address: this.address,
			kind: 'service',
			service: this.opts.service,
			role: 'mixed',
			honoursFencing: false,
			memoryMb: 0,
			load: {
				running: 0, waiting: 0, limit: SERVICE_CONCURRENCY_LIMIT, kvUsedRatio: 0,
			},
			resident: [],
			settledOrders: [],
			leaving: this.faults.leaving ?? false,
			cold: false,
		};
	}

	protected override getRecords(): Record<string, unknown> {
		return {runs: this.runs, lastHeaders: this.lastHeaders};
	}

	protected override registerRoutes(app: Express): void {
		app.use(express.text({type: () => true}), async (req, res) => {
			const received = this.recordRequest(req);
			const body = typeof req.body === 'string' ? req.body : '';
			const bodyDigest = getBodyDigest(body);
			this.emitRunStart(req, {
				bodyDigest, resumeFrom: 0, running: 1, completed: this.runs.length, limit: SERVICE_CONCURRENCY_LIMIT, isCold: false,
			});
			this.runs.push(body);
			const run = this.runs.length;
			await this.waitWhileHeld(() => this.faults.holdAnswer === true);
			if (this.faults.loseAnswer) {
				received.outcome = 'not-answered';
				req.socket.destroy();
				return;
			}

			received.outcome = 'completed';
			// The headers identify the run that produced an answer, also when the answer is replayed to a resent request.
			res.set({'x-run-id': req.get(REQUEST_ID_HEADER) ?? '', 'x-run-digest': bodyDigest});
			res.json({service: this.opts.service, path: req.path, run});
		});
	}
}
