import {once} from 'node:events';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import type {WeightStoreLimits} from '@egretrill/common';
import express from 'express';

const MS_PER_S = 1000;

export type WeightStoreOptions = Pick<WeightStoreLimits, 'loadsPerSecond' | 'concurrentLoads'> & {
	/** Duration of one load while the store is below its limits. */
	readonly loadMs: number;
};

/** A weight store that refuses loads above its rate, by a token bucket, and slows down above its limit of concurrent loads. */
export class StandInWeightStore {
	address = '';
	refused = 0;
	peakConcurrent = 0;
	private activeLoads = 0;
	private availableTokens: number;
	private lastRefillMs = performance.now();
	private server: Server | undefined;

	constructor(private readonly opts: WeightStoreOptions) {
		this.availableTokens = opts.loadsPerSecond;
	}

	async start(): Promise<this> {
		const app = express();
		app.get('/weights/:model', async (req, res) => {
			if (!this.consumeToken()) {
				this.refused += 1;
				res.status(429).json({error: {code: 'rate'}});
				return;
			}

			await this.loadWeights();
			res.json({model: req.params.model});
		});
		this.server = app.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
		this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
		return this;
	}

	async stop(): Promise<void> {
		this.server?.closeAllConnections();
		this.server?.close();
	}

	private consumeToken(): boolean {
		const nowMs = performance.now();
		const refill = (nowMs - this.lastRefillMs) / MS_PER_S * this.opts.loadsPerSecond;
		this.availableTokens = Math.min(this.opts.loadsPerSecond, this.availableTokens + refill);
		this.lastRefillMs = nowMs;
		if (this.availableTokens < 1) {
			return false;
		}

		this.availableTokens -= 1;
		return true;
	}

	private async loadWeights(): Promise<void> {
		this.activeLoads += 1;
		this.peakConcurrent = Math.max(this.peakConcurrent, this.activeLoads);
		try {
			await delay(this.opts.loadMs * Math.max(1, this.activeLoads / this.opts.concurrentLoads));
		} finally {
			this.activeLoads -= 1;
		}
	}
}
