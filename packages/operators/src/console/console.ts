import {randomBytes, randomUUID} from 'node:crypto';
import {ConfigDocument, MAX_MESSAGE_BYTES, type Fault} from '@egretrill/common';
import express, {
	type ErrorRequestHandler, type Request, type Response, Router as createRouter, type Router,
} from 'express';
import type {AdminAppOptions} from '../admin-app-options.js';
import {KEY_SECRET_BYTES} from '../constants.js';
import {getDigest} from '../credential.js';
import type {ApplyOutcome, ConfigInForce} from '../types.js';
import {checkDocument} from '../validate-document.js';
import {
	addEntry, getEntries, parseDraft, removeEntry, type Draft,
} from './draft.js';
import {renderForm, type FormState} from './form-page.js';
import {html} from './html.js';
import {
	renderAccepted, renderConflict, renderMessage, renderPage, renderReview, renderSignIn, renderStatus, renderUnavailable, styleSheet, type Proposal,
} from './pages.js';
import {
	isCrossSite, isValidToken, SessionStore, type Identity,
} from './session.js';

/** A posted form, with the configuration in force when it was received. */
type PostedForm = {
	readonly identity: Identity;
	readonly params: URLSearchParams;
	readonly follows: number;
	readonly inForce: ConfigInForce | undefined;
};

const emptyDraft: Draft = {zones: [{state: 'in-service'}]};

function getParameters(req: Request): URLSearchParams {
	return new URLSearchParams(typeof req.body === 'string' ? req.body : '');
}

async function sendForm(res: Response, status: number, post: Pick<PostedForm, 'identity' | 'inForce'>, state: Omit<FormState, 'token'>): Promise<void> {
	const {identity, inForce} = post;
	const form = await renderForm({...state, token: identity.token});
	res.status(status).send(renderPage('Configuration', html`${renderStatus(identity.author, identity.token, inForce)}${form}`));
}

async function sendFaults(res: Response, post: PostedForm, draft: Draft, faults: readonly Fault[]): Promise<void> {
	await sendForm(res, 422, post, {draft, follows: post.follows, faults});
}

/** Parses the document in a form of the review page; undefined when it is not valid. */
function parseProposal({params, follows, identity}: PostedForm): Proposal | undefined {
	try {
		const document = ConfigDocument.safeParse(JSON.parse(params.get('draft') ?? ''));
		return document.success
			? {
				document: document.data, follows, requestId: params.get('requestId') ?? randomUUID(), token: identity.token,
			}
			: undefined;
	} catch {
		return undefined;
	}
}

async function sendReview(res: Response, post: PostedForm, draft: Draft): Promise<void> {
	const {inForce, follows, identity} = post;
	const check = checkDocument(draft, inForce?.document);
	if (!check.isValid) {
		await sendFaults(res, post, draft, check.faults);
		return;
	}

	const proposal = {
		document: check.document, follows, requestId: `console-${randomUUID()}`, token: identity.token,
	};
	if (inForce && inForce.version !== follows) {
		res.status(409).send(renderPage('Another change came first', renderConflict(proposal, inForce, inForce)));
		return;
	}

	res.send(renderPage('Review changes', renderReview(proposal, inForce)));
}

async function sendOutcome(res: Response, post: PostedForm, proposal: Proposal, outcome: ApplyOutcome): Promise<void> {
	switch (outcome.result) {
		case 'accepted': {
			res.send(renderPage('Change accepted', renderAccepted(outcome)));
			return;
		}

		case 'conflict': {
			res.status(409).send(renderPage('Another change came first', renderConflict(proposal, outcome.winner, post.inForce)));
			return;
		}

		case 'refused': {
			await sendFaults(res, post, proposal.document, outcome.faults);
			return;
		}

		case 'unavailable': {
			res.status(outcome.effect === 'unknown' ? 504 : 503).send(renderPage('No definite answer', renderUnavailable(proposal, outcome.effect, outcome.reason)));
		}
	}
}

async function applyProposal(res: Response, {control, logger}: AdminAppOptions, post: PostedForm, proposal: Proposal): Promise<void> {
	const {document, follows, requestId} = proposal;
	const change = {
		document, follows, requestId, author: post.identity.author,
	};
	let outcome: ApplyOutcome;
	try {
		outcome = await control.apply(change);
	} catch (err: unknown) {
		logger.error({err, requestId}, 'console change failed');
		outcome = {result: 'unavailable', effect: 'unknown', reason: 'The request failed.'};
	}

	// After a conflict the other operator's change is in force, which is newer than what was read before.
	const inForce = outcome.result === 'conflict' ? await control.getConfig() : post.inForce;
	await sendOutcome(res, {...post, inForce}, proposal, outcome);
}

async function sendFormWithNewEntry(res: Response, post: PostedForm, draft: Draft, path: string): Promise<void> {
	const secret = path === 'keys' ? randomBytes(KEY_SECRET_BYTES).toString('base64url') : undefined;
	const draftWithEntry = addEntry(draft, path, secret === undefined ? {} : {digest: getDigest(secret)});
	const focus = `${path}.${getEntries(draftWithEntry, path).length - 1}`;
	await sendForm(res, 200, post, {
		draft: draftWithEntry, follows: post.follows, focus, secret,
	});
}

async function handleProposal(res: Response, opts: AdminAppOptions, post: PostedForm, action: string): Promise<void> {
	const proposal = parseProposal(post);
	if (!proposal) {
		res.status(400).send(renderPage('Unreadable form', renderMessage('The document in the form is damaged. Nothing was applied.')));
		return;
	}

	if (action === 'apply') {
		await applyProposal(res, opts, post, proposal);
		return;
	}

	if (action === 'rebase') {
		const follows = post.inForce?.version ?? 0;
		await sendReview(res, {...post, follows}, {...proposal.document, version: follows + 1});
		return;
	}

	await sendForm(res, 200, post, {draft: proposal.document, follows: post.follows});
}

async function handlePost(res: Response, opts: AdminAppOptions, post: PostedForm): Promise<void> {
	const [action = '', path = ''] = (post.params.get('action') ?? 'review').split(' ');
	if (post.params.has('draft')) {
		await handleProposal(res, opts, post, action);
		return;
	}

	const draft = parseDraft(post.params, post.follows + 1);
	if (action === 'add') {
		await sendFormWithNewEntry(res, post, draft, path);
		return;
	}

	if (action === 'remove') {
		await sendForm(res, 200, post, {draft: removeEntry(draft, path), follows: post.follows, focus: undefined});
		return;
	}

	await sendReview(res, post, draft);
}

function createErrorHandler({logger}: AdminAppOptions): ErrorRequestHandler {
	return (err: unknown, req, res, next) => {
		if (res.headersSent) {
			next(err);
			return;
		}

		const {status = 500} = (typeof err === 'object' && err !== null ? err : {}) as {status?: number};
		logger.error({err, method: req.method, path: req.path}, 'console request failed');
		res.status(status).type('html').send(renderPage('The request failed', renderMessage('The request failed before anything was applied.')));
	};
}

function setPageHeaders(_req: Request, res: Response, next: () => void): void {
	res.set({
		'content-security-policy': 'default-src \'none\'; style-src \'self\'; form-action \'self\'; base-uri \'none\'; frame-ancestors \'none\'',
		// With `no-referrer` browsers send `Origin: null` with each form, which would be refused as cross-site.
		'referrer-policy': 'same-origin',
	});
	next();
}

function mountSignIn(router: Router, sessions: SessionStore): void {
	router.get('/sign-in', (_req, res) => {
		res.send(renderPage('Sign in', renderSignIn()));
	});
	router.post('/sign-in', (req, res) => {
		const params = getParameters(req);
		if (sessions.signIn(res, params.get('credential') ?? '', params.get('user') ?? '')) {
			res.redirect(303, '/console');
			return;
		}

		res.status(401).send(renderPage('Sign in', renderSignIn('The operator credential is wrong.')));
	});
}

function refuseUnauthenticated(req: Request, res: Response): void {
	if (req.headers.authorization === undefined) {
		res.redirect(303, '/console/sign-in');
		return;
	}

	res.status(401).set('www-authenticate', 'Basic realm="egretrill operators"').send(renderPage('Sign in', renderSignIn('The operator credential is wrong.')));
}

/** Creates the router of the console. Each answer to a post is a whole page that contains the draft, so the server keeps no draft between requests. */
export function createConsole(opts: AdminAppOptions): Router {
	const sessions = new SessionStore(opts.adminKeyDigest, opts.secureCookie ?? false);
	const router = createRouter();
	router.use(setPageHeaders, express.text({type: 'application/x-www-form-urlencoded', limit: MAX_MESSAGE_BYTES}));
	router.get('/style.css', (_req, res) => {
		res.type('css').send(styleSheet);
	});
	router.post('/{*path}', (req, res, next) => {
		if (isCrossSite(req)) {
			res.status(403).send(renderPage('Refused', renderMessage('The form was sent from another site. Nothing was applied.')));
			return;
		}

		next();
	});
	mountSignIn(router, sessions);
	router.get('/', async (req, res) => {
		const identity = sessions.getIdentity(req);
		if (!identity) {
			refuseUnauthenticated(req, res);
			return;
		}

		const inForce = await opts.control.getConfig();
		await sendForm(res, 200, {identity, inForce}, {draft: inForce?.document ?? emptyDraft, follows: inForce?.version ?? 0});
	});
	router.post(['/', '/sign-out'], async (req, res) => {
		const identity = sessions.getIdentity(req);
		if (!identity) {
			refuseUnauthenticated(req, res);
			return;
		}

		const params = getParameters(req);
		if (!isValidToken(identity, params.get('token') ?? '')) {
			res.status(403).send(renderPage('Refused', renderMessage('The form is out of date or was sent from another site. Nothing was applied.')));
			return;
		}

		if (req.path === '/sign-out') {
			sessions.signOut(req, res);
			res.redirect(303, '/console/sign-in');
			return;
		}

		const follows = Number(params.get('follows'));
		const inForce = await opts.control.getConfig();
		await handlePost(res, opts, {
			identity, params, follows: Number.isSafeInteger(follows) && follows >= 0 ? follows : 0, inForce,
		});
	});
	router.use(createErrorHandler(opts));
	return router;
}
