import express, {type Express} from 'express';
import type {Metrics} from './metrics.js';
import type {Readiness, UnreadyReason} from './types.js';

export type HealthAppOptions = {
	/** Returns every reason why this host accepts no new connections; none means ready. */
	readonly getUnreadyReasons: () => readonly UnreadyReason[];
	readonly metrics: Metrics;
	/** Called before each scrape, to update gauges. */
	readonly onScrape?: () => void;
};

/** Creates the HTTP app that the platform's balancer and metrics collector poll. */
export function createHealthApp(opts: HealthAppOptions): Express {
	const app = express();
	app.disable('x-powered-by');
	app.set('etag', false);
	app.use((_req, res, next) => {
		res.set('cache-control', 'no-store');
		next();
	});

	app.get('/healthz', (_req, res) => {
		res.json({alive: true});
	});

	app.get('/readyz', (_req, res) => {
		const reasons = opts.getUnreadyReasons();
		const readiness: Readiness = {ready: reasons.length === 0, reasons: [...reasons]};
		res.status(readiness.ready ? 200 : 503).json(readiness);
	});

	app.get('/metrics', (_req, res) => {
		opts.onScrape?.();
		res.type('text/plain; version=0.0.4; charset=utf-8').send(opts.metrics.format());
	});

	return app;
}
