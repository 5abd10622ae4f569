import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {
	type Customer, refuse, type Route, type Verdict,
} from '@egretrill/common';
import {Result} from 'true-myth';
import type {ConfigIndex} from './config-index.js';

/** The customer of a request and the digest of its key; both are absent on open routes. */
export type Identity = {readonly customer?: Customer; readonly keyDigest?: string};

/** The SHA-256 digest under which a key is stored. */
export function getKeyDigest(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Compares two digests in constant time. */
export function isSameDigest(a: string, b: string): boolean {
	const left = Buffer.from(a, 'hex');
	const right = Buffer.from(b, 'hex');
	return left.length === right.length && timingSafeEqual(left, right);
}

function getBearerKey(headers: Readonly<Record<string, string>>): string | undefined {
	const match = /^Bearer\s+(?<key>\S+)$/iv.exec(headers.authorization ?? '');
	return match?.groups?.key ?? headers['x-api-key'];
}

/** Checks that a key is valid in the configuration and that this host's key lease for the customer has not expired. */
export function checkKey(index: ConfigIndex, keyDigest: string, ageMs: number): Result<Customer, Verdict> {
	const key = index.keysByDigest.get(keyDigest);
	if (!key || !isSameDigest(key.digest, keyDigest) || key.state === 'withdrawn') {
		return Result.err(refuse(401, 'invalid-key', 'The key is not valid.'));
	}

	const customer = index.customers.get(key.customer);
	if (!customer) {
		return Result.err(refuse(401, 'invalid-key', 'The key is not valid.'));
	}

	if (ageMs > customer.keyLeaseMs) {
		return Result.err(refuse(503, 'zone-cut-off', 'This host cannot confirm that the key is still valid.', customer.keyLeaseMs));
	}

	return Result.ok(customer);
}

/** Determines the customer of a request from its key. */
export function authenticate(index: ConfigIndex, route: Route, headers: Readonly<Record<string, string>>, ageMs: number): Result<Identity, Verdict> {
	if (route.access === 'open') {
		return Result.ok({});
	}

	const key = getBearerKey(headers);
	if (key === undefined) {
		return Result.err(refuse(401, 'missing-key', 'This route needs a key in the Authorization header.'));
	}

	const keyDigest = getKeyDigest(key);
	return checkKey(index, keyDigest, ageMs).map(customer => ({customer, keyDigest}));
}
