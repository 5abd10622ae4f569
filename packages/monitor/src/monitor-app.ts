import {VERDICT_HEADER, type Logger} from '@egretrill/common';
import express, {
	type ErrorRequestHandler, type Express, type Request, type Response,
} from 'express';
import {z} from 'zod';
import {DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE} from './constants.js';
import {createMonitorCredentialCheck} from './credential.js';
import type {EvidenceLog} from './evidence-log.js';
import type {MonitorView} from './monitor-view.js';
import {renderMonitorPage} from './page.js';
import type {PromiseCounters} from './promise-counters.js';
import {createReports, type Reports} from './reports.js';
import {EvidenceHead, type MonitorError, type Verification} from './types.js';

export type MonitorAppOptions = {
	readonly view: MonitorView;
	readonly promises: PromiseCounters;
	/** Absent on a host without a data directory. */
	readonly evidence?: EvidenceLog;
	/** SHA-256 digest of the monitor's credential, as set in the host settings. */
	readonly monitorKeyDigest: string;
	readonly logger: Logger;
};

const PageQuery = z.object({
	after: z.coerce.number().int().min(-1).default(-1),
	limit: z.coerce.number().int().min(1).max(MAX_PAGE_SIZE).default(DEFAULT_PAGE_SIZE),
});

/** Query parameters with a head that the monitor saved earlier. */
const KnownHead = z.object({seq: z.coerce.number().pipe(EvidenceHead.shape.seq), hash: EvidenceHead.shape.hash});

function sendError(res: Response, status: number, code: string, message: string): void {
	const body: MonitorError = {error: {verdict: 'not-run', code, message}};
	res.status(status).set(VERDICT_HEADER, 'not-run').json(body);
}

function parseQuery<Schema extends z.ZodType>(schema: Schema, req: Request, res: Response): z.infer<Schema> | undefined {
	const parsed = schema.safeParse(req.query);
	if (parsed.success) {
		return parsed.data;
	}

	sendError(res, 400, 'query', `These query parameters are not valid: ${parsed.error.issues.map(issue => issue.path.join('.')).join(', ')}.`);
	return undefined;
}

function sendNoConfig(res: Response): void {
	sendError(res, 503, 'no-configuration', 'No configuration is in force on this host yet.');
}

function mountReports(app: Express, view: MonitorView, reports: Reports): void {
	for (const [name, getReport] of Object.entries(reports)) {
		app.get(`/v1/${name}`, async (_req, res) => {
			const config = await view.getConfig();
			if (!config) {
				sendNoConfig(res);
				return;
			}

			res.json(await getReport(config));
		});
	}
}

function mountEvidence(app: Express, {evidence}: MonitorAppOptions): void {
	// Verification reads the whole file, so concurrent requests share one run.
	let runningVerification: Promise<Verification> | undefined;
	app.use('/v1/evidence', (_req, res, next) => {
		if (evidence) {
			next();
			return;
		}

		sendError(res, 404, 'no-evidence', 'This host has no disk and keeps no evidence.');
	});
	app.get('/v1/evidence', async (req, res) => {
		const query = parseQuery(PageQuery, req, res);
		if (query) {
			res.json(await evidence!.readPage(query.after, query.limit));
		}
	});
	app.get('/v1/evidence/verification', async (req, res) => {
		if (Object.keys(req.query).length > 0) {
			const known = parseQuery(KnownHead, req, res);
			if (known) {
				res.json(await evidence!.verify(known));
			}

			return;
		}

		runningVerification ??= evidence!.verify();
		try {
			res.json(await runningVerification);
		} finally {
			runningVerification = undefined;
		}
	});
}

function createErrorHandler(logger: Logger): ErrorRequestHandler {
	return (err: unknown, req, res, next) => {
		if (res.headersSent) {
			next(err);
			return;
		}

		logger.error({err, path: req.path}, 'monitor request failed');
		sendError(res, 500, 'internal', 'The request failed.');
	};
}

function setHeaders(_req: Request, res: Response, next: () => void): void {
	res.set({
		'cache-control': 'no-store',
		'content-security-policy': 'default-src \'none\'; base-uri \'none\'; frame-ancestors \'none\'',
		'x-content-type-options': 'nosniff',
	});
	next();
}

/** Creates the read-only HTTP app for the monitor. */
export function createMonitorApp(opts: MonitorAppOptions): Express {
	const {view, promises, evidence} = opts;
	const reports = createReports(view, promises);
	const isMonitorCredential = createMonitorCredentialCheck(opts.monitorKeyDigest);
	const app = express();
	app.disable('x-powered-by');
	app.set('etag', false);
	app.use(setHeaders, (req, res, next) => {
		if (req.method !== 'GET' && req.method !== 'HEAD') {
			res.set('allow', 'GET, HEAD');
			sendError(res, 405, 'read-only', 'The monitor reads; it changes nothing.');
			return;
		}

		if (!isMonitorCredential(req.headers.authorization)) {
			res.set('www-authenticate', 'Bearer realm="egretrill monitor", Basic realm="egretrill monitor"');
			sendError(res, 401, 'unauthorized', 'The monitor credential is missing or wrong.');
			return;
		}

		next();
	});
	mountReports(app, view, reports);
	mountEvidence(app, opts);
	app.get('/', async (req, res) => {
		const query = parseQuery(PageQuery, req, res);
		const config = query && await view.getConfig();
		if (!query) {
			return;
		}

		if (!config) {
			sendNoConfig(res);
			return;
		}

		res.send(await renderMonitorPage({config, reports, evidence: await evidence?.readPage(query.after, query.limit)}));
	});
	app.use((_req, res) => {
		sendError(res, 404, 'not-found', 'There is no such resource.');
	});
	app.use(createErrorHandler(opts.logger));
	return app;
}
