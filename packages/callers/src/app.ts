import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {type Logger, MAX_BODY_BYTES, refuse} from '@egretrill/common';
import express, {type ErrorRequestHandler, type Express, type Request} from 'express';
import {type CallerReply, sendRefusal} from './caller-reply.js';
import {ExpressReply} from './express-reply.js';
import type {CallerRequest} from './types.js';

export type CallerAppOptions = {
	readonly logger: Logger;
	readonly handle: (req: CallerRequest, reply: CallerReply, signal: AbortSignal) => Promise<void>;
};

function getHeaders(req: Request): Record<string, string> {
	return Object.fromEntries(Object.keys(req.headers).map(name => [name, req.get(name) ?? '']));
}

function createCallerRequest(req: Request): CallerRequest {
	const body = req.body as unknown;
	return {
		// The id is always this host's own, so that two callers can never name the same request.
		requestId: `req-${randomUUID()}`,
		method: req.method,
		path: req.path,
		headers: getHeaders(req),
		body: Buffer.isBuffer(body) ? body : new Uint8Array(0),
	};
}

/** Creates the HTTP front end for callers. */
export function createCallerApp({logger, handle}: CallerAppOptions): Express {
	const app = express();
	app.disable('x-powered-by');
	app.disable('etag');
	app.use(express.raw({type: () => true, limit: MAX_BODY_BYTES}));
	app.use(async (req, res) => {
		const disconnected = new AbortController();
		res.once('close', () => {
			if (!res.writableFinished) {
				disconnected.abort();
			}
		});
		await handle(createCallerRequest(req), new ExpressReply(res, disconnected.signal), disconnected.signal);
	});
	const refuseUnreadable: ErrorRequestHandler = async (err: {status?: number; type?: string}, _req, res, _next) => {
		if (res.headersSent) {
			res.destroy();
			return;
		}

		const reply = new ExpressReply(res, new AbortController().signal);
		const isTooLarge = err.type === 'entity.too.large';
		logger.info({type: err.type}, 'Refused an unreadable request.');
		await sendRefusal(reply, isTooLarge
			? refuse(413, 'body-too-large', `The body is larger than ${MAX_BODY_BYTES} bytes.`)
			: refuse(400, 'unreadable-body', 'The body could not be read.'));
	};

	app.use(refuseUnreadable);
	return app;
}
