import {
	refuse, type Verdict, VerdictError,
} from '@egretrill/common';
import {Result} from 'true-myth';
import {type AdmissionRequest, admitWork} from './admission.js';
import {authenticate, type Identity} from './authenticate.js';
import {type CallerReply, sendRefusal} from './caller-reply.js';
import type {ConfigIndex} from './config-index.js';
import {OPEN_CUSTOMER, RECORD_STALE_MS} from './constants.js';
import {getFingerprint} from './crashes/index.js';
import {getResultAtStop, linkSignals, type RequestSignals} from './end-at-stop.js';
import type {Exchange} from './exchange-types.js';
import {listRequestKeys} from './list-request-keys.js';
import {matchRoute} from './match-route.js';
import type {RequestDependencies} from './request-dependencies.js';
import {runOnTargets, type RunResult} from './run-on-targets.js';
import {runOnce} from './run-once.js';
import type {CallerRequest} from './types.js';
import {parseWork, type Work} from './work.js';

type AuthorizedRequest = {readonly identity: Identity; readonly work: Work};

/** Determines the route, customer and work of a request. */
function authorize(index: ConfigIndex, req: CallerRequest, ageMs: number): Result<AuthorizedRequest, Verdict> {
	return matchRoute(index, req.path)
		.andThen(route => authenticate(index, route, req.headers, ageMs)
			.andThen(identity => parseWork(index, route, req)
				.map(work => ({identity, work}))));
}

async function serve(req: CallerRequest, reply: CallerReply, signals: RequestSignals, deps: RequestDependencies): Promise<Result<RunResult, Verdict>> {
	const index = deps.config.getIndex();
	if (!index) {
		return Result.err(refuse(503, 'not-ready', 'This host has no configuration yet.', 1000));
	}

	const authorized = authorize(index, req, deps.config.getAgeMs());
	if (authorized.isErr) {
		return Result.err(authorized.error);
	}

	const customer = authorized.value.identity.customer?.id ?? OPEN_CUSTOMER;
	const fingerprint = getFingerprint([customer, `${req.method} ${req.path}`], req.body);
	const result = await runUntilEnded(signals, async signal => admitAndRun({
		...authorized.value, deps, signal, fingerprint, keys: listRequestKeys(fingerprint, req.body.length, authorized.value.work),
	}, req, reply));
	deps.observer.recordEnd({requestId: req.requestId, customer, outcome: result.isOk ? result.value.kind : result.error});
	return result;
}

/** Runs a request until it ends, its caller disconnects or this host stops. */
async function runUntilEnded(signals: RequestSignals, run: (signal: AbortSignal) => Promise<Result<RunResult, Verdict>>): Promise<Result<RunResult, Verdict>> {
	const {signal, unlink} = linkSignals(signals);
	try {
		const result = await run(signal);
		return signals.stopping.aborted && !signals.disconnected.aborted ? getResultAtStop(result) : result;
	} finally {
		unlink();
	}
}

/** Admits a request with a known route and customer, and runs it on a target. */
async function admitAndRun(admissionReq: AdmissionRequest, req: CallerRequest, reply: CallerReply): Promise<Result<RunResult, Verdict>> {
	const {deps, identity, work} = admissionReq;
	deps.observer.recordArrival(work);
	deps.retries.countRequest();
	if (!work.route.idempotent && deps.config.getAgeMs() > RECORD_STALE_MS) {
		return Result.err(refuse(503, 'record-unavailable', 'This host has lost touch with the leader, so the call could not be recorded and was not sent.', RECORD_STALE_MS));
	}

	const startedMs = deps.clock.now();
	const admission = await admitWork(admissionReq);
	if (admission.isErr) {
		return Result.err(admission.error);
	}

	const queueMs = deps.clock.now() - startedMs;
	deps.observer.recordTimes({customer: identity.customer?.id ?? OPEN_CUSTOMER, model: work.chat?.model, queueMs});
	return runAdmitted({
		...admissionReq, req, reply, startedMs, admission: admission.value, deadlineMs: startedMs + work.route.timeoutMs,
	});
}

/** Runs an admitted request and releases what it held. */
async function runAdmitted(exchange: Exchange): Promise<Result<RunResult, Verdict>> {
	const {admission, work} = exchange;
	let result: Result<RunResult, Verdict> | undefined;
	try {
		result = await (work.route.idempotent ? runOnTargets(exchange) : runOnce(exchange));
		return result;
	} finally {
		if (result?.isErr && result.error.run === 'not-run') {
			admission.cancel();
		} else {
			admission.settle(result?.isOk && result.value.kind === 'completed' ? result.value.tokens : undefined);
		}
	}
}

/** Ends an answer that failed after it was started, so that the caller can distinguish it from a complete one. */
async function endBrokenAnswer(reply: CallerReply, verdict: Verdict): Promise<void> {
	if (!reply.isEventStream) {
		reply.abort();
		return;
	}

	const body = {error: {verdict: verdict.run, code: verdict.code, message: verdict.reason}};
	await reply.write(`event: error\ndata: ${JSON.stringify(body)}\n\n`);
	await reply.end();
}

function toVerdict(err: unknown): Verdict {
	return err instanceof VerdictError
		? err.verdict
		: {
			run: 'may-have-run', status: 500, code: 'internal', reason: 'The request failed inside this host.',
		};
}

/** Handles a caller's request and sends its answer or refusal. */
export async function handleRequest(req: CallerRequest, reply: CallerReply, signals: RequestSignals, deps: RequestDependencies): Promise<void> {
	const startedMs = deps.clock.now();
	let result: Result<RunResult, Verdict>;
	try {
		result = await serve(req, reply, signals, deps);
	} catch (err: unknown) {
		deps.logger.error({err, requestId: req.requestId}, 'A request failed unexpectedly.');
		result = Result.err(toVerdict(err));
	}

	const elapsedMs = Math.round(deps.clock.now() - startedMs);
	if (result.isOk) {
		deps.logger.info({
			requestId: req.requestId, path: req.path, outcome: result.value.kind, elapsedMs,
		}, 'Request ended.');
		return;
	}

	const verdict = result.error;
	deps.logger.info({
		requestId: req.requestId, path: req.path, outcome: verdict.code, verdict: verdict.run, elapsedMs,
	}, 'Request refused.');
	if (signals.disconnected.aborted) {
		return;
	}

	await (reply.isStarted ? endBrokenAnswer(reply, verdict) : sendRefusal(reply, verdict));
}
