import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {MonotonicClock, type Clock} from '@egretrill/common';
import type {Request, Response} from 'express';
import {
	DEFAULT_OPERATOR, MAX_SESSIONS, SESSION_COOKIE, SESSION_TTL_MS,
} from '../constants.js';
import {createCredentialCheck, getBasicCredentials} from '../credential.js';
import {OperatorName} from '../types.js';

/** A signed-in operator and the CSRF token that forms must contain. */
export type Identity = {readonly author: OperatorName; readonly token: string};
type Session = {readonly author: OperatorName; readonly expiresAtMs: number};

function getCookie(req: Request, name: string): string | undefined {
	const pairs = (req.headers.cookie ?? '').split(';').map(pair => pair.trim().split('='));
	return pairs.find(([key]) => key === name)?.[1];
}

function parseOperatorName(user: string): OperatorName {
	const parsed = OperatorName.safeParse(user);
	return parsed.success ? parsed.data : DEFAULT_OPERATOR;
}

/** Authenticates operators in a browser; sessions are kept in memory and end with the process. */
export class SessionStore {
	private readonly isValidCredential: (presented: string) => boolean;
	private readonly tokenSecret = randomBytes(32);
	private readonly sessions = new Map<string, Session>();

	constructor(adminKeyDigest: string, private readonly isSecure: boolean, private readonly clock: Clock = new MonotonicClock()) {
		this.isValidCredential = createCredentialCheck(adminKeyDigest);
	}

	/** Starts a session and sets its cookie if the credential is valid. */
	signIn(res: Response, credential: string, user: string): boolean {
		if (!this.isValidCredential(credential)) {
			return false;
		}

		const id = randomBytes(32).toString('base64url');
		const [oldest] = this.sessions.keys();
		if (oldest !== undefined && this.sessions.size >= MAX_SESSIONS) {
			this.sessions.delete(oldest);
		}

		this.sessions.set(id, {author: parseOperatorName(user), expiresAtMs: this.clock.now() + SESSION_TTL_MS});
		res.cookie(SESSION_COOKIE, id, {
			httpOnly: true, sameSite: 'strict', path: '/console', secure: this.isSecure,
		});
		return true;
	}

	signOut(req: Request, res: Response): void {
		this.sessions.delete(getCookie(req, SESSION_COOKIE) ?? '');
		res.clearCookie(SESSION_COOKIE, {path: '/console'});
	}

	/** Authenticates a request by its session cookie or by HTTP Basic. */
	getIdentity(req: Request): Identity | undefined {
		const id = getCookie(req, SESSION_COOKIE) ?? '';
		const session = this.sessions.get(id);
		if (session && session.expiresAtMs > this.clock.now()) {
			return {author: session.author, token: this.createToken(`session:${id}`)};
		}

		this.sessions.delete(id);
		const basic = getBasicCredentials(req.headers.authorization);
		if (!basic || !this.isValidCredential(basic.password)) {
			return undefined;
		}

		const author = parseOperatorName(basic.user);
		return {author, token: this.createToken(`basic:${author}`)};
	}

	private createToken(subject: string): string {
		return createHmac('sha256', this.tokenSecret).update(subject).digest('base64url');
	}
}

/** Compares a posted CSRF token in constant time. */
export function isValidToken(identity: Identity, presented: string): boolean {
	const expected = new TextEncoder().encode(identity.token);
	const found = new TextEncoder().encode(presented);
	return expected.length === found.length && timingSafeEqual(expected, found);
}

/** Whether the headers of a browser show that the request comes from a page of another origin. */
export function isCrossSite(req: Request): boolean {
	const site = req.get('sec-fetch-site');
	const origin = req.get('origin');
	if (site !== undefined && site !== 'same-origin' && site !== 'none') {
		return true;
	}

	return origin !== undefined && (!URL.canParse(origin) || new URL(origin).host !== req.get('host'));
}
