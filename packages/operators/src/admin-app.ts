import {randomUUID} from 'node:crypto';
import {
	MAX_MESSAGE_BYTES, VERDICT_HEADER, type Fault, getSchemaFaults, type Logger, type RunState,
} from '@egretrill/common';
import express, {
	type ErrorRequestHandler, type Express, type Request, type Response,
} from 'express';
import type {z} from 'zod';
import {createOpenApi, operations, type Operation} from './api.js';
import {createConsole} from './console/console.js';
import {DEFAULT_OPERATOR, OPERATOR_HEADER} from './constants.js';
import {createCredentialCheck, getBearerToken} from './credential.js';
import type {AdminAppOptions} from './admin-app-options.js';
import type {ControlRequest, FleetControl} from './fleet-control.js';
import {
	ApplyRequest, OperatorName, RequestIdBody, ValidateRequest, ZoneStateRequest, type ApiError, type OperatorName as Operator, type Unavailable,
} from './types.js';
import {validateDocument} from './validate-document.js';

type Outcome = {readonly result: string; readonly effect?: Unavailable['effect']};
type OperationHandler = (req: Request, res: Response, author: Operator) => Promise<void>;

const statusByResult: Readonly<Record<string, number>> = {
	pending: 202, draining: 202, conflict: 409, refused: 422, 'not-found': 404,
};

function getStatus({result, effect}: Outcome): number {
	if (result === 'unavailable') {
		return effect === 'unknown' ? 504 : 503;
	}

	return statusByResult[result] ?? 200;
}

function getRunState({result, effect}: Outcome): RunState {
	if (result === 'unavailable') {
		return effect === 'unknown' ? 'may-have-run' : 'not-run';
	}

	return getStatus({result}) < 300 ? 'ran' : 'not-run';
}

function sendOutcome(res: Response, outcome: Outcome): void {
	res.status(getStatus(outcome)).set(VERDICT_HEADER, getRunState(outcome)).json(outcome);
}

function sendError(res: Response, status: number, error: ApiError['error']): void {
	const body: ApiError = {error};
	res.status(status).set(VERDICT_HEADER, error.verdict).json(body);
}

function sendFaults(res: Response, faults: readonly Fault[]): void {
	sendOutcome(res, {result: 'refused', faults} as Outcome);
}

/** Parses the body of a request; answers with its faults and returns undefined if it is not valid. */
function parseBody<Schema extends z.ZodType>(schema: Schema, req: Request, res: Response): z.infer<Schema> | undefined {
	const body: unknown = req.body ?? {};
	const parsed = schema.safeParse(body);
	if (parsed.success) {
		return parsed.data;
	}

	// Paths of faults in the document are relative to the document, as in the outcome of validating it.
	sendFaults(res, getSchemaFaults(body, parsed.error).map(fault => ({...fault, path: fault.path.replace(/^document\./v, '')})));
	return undefined;
}

function getControlRequest(req: Request, author: Operator, requestId: string | undefined): ControlRequest {
	return {id: String(req.params.id), author, requestId: requestId ?? randomUUID()};
}

function createChangeHandlers(control: FleetControl): Record<'validate' | 'apply' | 'withdrawKey' | 'setZoneState' | 'drainHost', OperationHandler> {
	return {
		async validate(req, res) {
			const body = parseBody(ValidateRequest, req, res);
			if (!body) {
				return;
			}

			const current = await control.getConfig();
			const faults = validateDocument(body.document, current?.document);
			if (faults.length > 0) {
				sendFaults(res, faults);
				return;
			}

			sendOutcome(res, {result: 'valid'});
		},
		async apply(req, res, author) {
			const body = parseBody(ApplyRequest, req, res);
			if (body) {
				// The leader validates. This host's copy of the configuration may be out of date, so a check here could refuse a document that the leader would answer as a conflict or a resend.
				sendOutcome(res, await control.apply({...body, author}));
			}
		},
		async withdrawKey(req, res, author) {
			const body = parseBody(RequestIdBody, req, res);
			if (body) {
				sendOutcome(res, await control.withdrawKey(getControlRequest(req, author, body.requestId)));
			}
		},
		async setZoneState(req, res, author) {
			const body = parseBody(ZoneStateRequest, req, res);
			if (body) {
				sendOutcome(res, await control.setZoneState(getControlRequest(req, author, body.requestId), body.state));
			}
		},
		async drainHost(req, res, author) {
			const body = parseBody(RequestIdBody, req, res);
			if (body) {
				sendOutcome(res, await control.drainHost(getControlRequest(req, author, body.requestId)));
			}
		},
	};
}

function createReadHandlers(control: FleetControl): Record<'getConfig' | 'getStatus' | 'getWithdrawal' | 'getTargets' | 'explainPlacement', OperationHandler> {
	return {
		async getConfig(_req, res) {
			const config = await control.getConfig();
			if (config) {
				res.json(config);
				return;
			}

			sendOutcome(res, {result: 'not-found', reason: 'No configuration is in force yet.'} as Outcome);
		},
		async getStatus(_req, res) {
			res.json(await control.getStatus());
		},
		async getWithdrawal(req, res) {
			sendOutcome(res, await control.getWithdrawal(String(req.params.id)));
		},
		async getTargets(_req, res) {
			res.json({targets: await control.getTargets()});
		},
		async explainPlacement(req, res) {
			const explanation = await control.explainPlacement(String(req.params.model));
			if (explanation) {
				res.json(explanation);
				return;
			}

			sendOutcome(res, {result: 'not-found', reason: 'The model is not in the configuration.'} as Outcome);
		},
	};
}

function createErrorHandler(logger: Logger): ErrorRequestHandler {
	return (err: unknown, req, res, next) => {
		if (res.headersSent) {
			next(err);
			return;
		}

		const {status = 500, type = 'error'} = (typeof err === 'object' && err !== null ? err : {}) as {status?: number; type?: string};
		if (status < 500) {
			sendError(res, status, {verdict: 'not-run', code: type, message: 'The request could not be read.'});
			return;
		}

		logger.error({err, method: req.method, path: req.path}, 'admin request failed');
		sendError(res, 500, {verdict: req.method === 'POST' ? 'may-have-run' : 'not-run', code: 'internal', message: 'The request failed; a change may have been applied.'});
	};
}

function mountOperations(app: Express, control: FleetControl): void {
	const handlers: Readonly<Record<keyof typeof operations, OperationHandler>> = {...createChangeHandlers(control), ...createReadHandlers(control)};
	for (const [id, operation] of Object.entries<Operation>(operations)) {
		const handler = handlers[id as keyof typeof operations];
		app[operation.method](operation.path.replaceAll(/\{(?<name>\w+)\}/gv, ':$<name>'), async (req: Request, res: Response) => {
			const author = OperatorName.safeParse(req.get(OPERATOR_HEADER) ?? DEFAULT_OPERATOR);
			if (!author.success) {
				sendError(res, 400, {verdict: 'not-run', code: 'operator-name', message: `The header ${OPERATOR_HEADER} is not ${author.error.issues[0]?.message}.`});
				return;
			}

			await handler(req, res, author.data);
		});
	}
}

/** Creates the HTTP app for operators: the API under `/v1` and the console under `/console`. */
export function createAdminApp(opts: AdminAppOptions): Express {
	const {control, logger} = opts;
	const isValidCredential = createCredentialCheck(opts.adminKeyDigest);
	const app = express();
	app.disable('x-powered-by');
	app.set('etag', false);
	app.use((_req, res, next) => {
		res.set({'cache-control': 'no-store', 'x-content-type-options': 'nosniff'});
		next();
	});
	app.use('/console', createConsole(opts));
	app.get('/', (_req, res) => {
		res.redirect(303, '/console');
	});
	app.use('/v1', (req, res, next) => {
		if (isValidCredential(getBearerToken(req.headers.authorization) ?? '')) {
			next();
			return;
		}

		res.set('www-authenticate', 'Bearer realm="egretrill operators"');
		sendError(res, 401, {verdict: 'not-run', code: 'unauthorized', message: 'The operator credential is missing or wrong.'});
	}, express.json({limit: MAX_MESSAGE_BYTES}));
	app.get('/v1/openapi.json', (_req, res) => {
		res.json(createOpenApi());
	});
	mountOperations(app, control);
	app.use((_req, res) => {
		sendError(res, 404, {verdict: 'not-run', code: 'not-found', message: 'There is no such resource or method.'});
	});
	app.use(createErrorHandler(logger));
	return app;
}
