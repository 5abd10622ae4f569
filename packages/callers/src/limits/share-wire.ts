import {z} from 'zod';
import {hasAmounts, NO_AMOUNTS} from './amounts.js';
import type {
	CustomerExchange, GrantReport, ShareAnswer, ShareRequest, WaitingNeed,
} from './types.js';

const count = z.int().nonnegative();

/** Serial, settled tokens, settled requests, returned tokens, returned requests. */
const WireReport = z.tuple([count, count, count, count, count]);
/** Total tokens, total requests, tokens and requests of the head, waiting time of the head. */
const WireWaiting = z.tuple([count, count, count, count, count]);
/** Customer, wanted tokens, wanted requests, waiting, reports. */
const WireCustomer = z.tuple([z.string(), count, count, WireWaiting.nullable(), z.array(WireReport)]);
/** Customer, serial, tokens, requests, short, retry time. */
const WireGrant = z.tuple([z.string(), count, count, count, z.boolean(), count]);

/** Positional encoding of an exchange; field names would make up most of the message. */
export const WireShareRequest = z.tuple([z.string(), z.string(), count, count, z.array(WireCustomer)]);
export type WireShareRequest = z.infer<typeof WireShareRequest>;

/** Positional encoding of an answer. */
export const WireShareAnswer = z.tuple([count, count, count, z.array(WireGrant)]);
export type WireShareAnswer = z.infer<typeof WireShareAnswer>;

function encodeReport({serial, settled, returned = NO_AMOUNTS}: GrantReport): z.infer<typeof WireReport> {
	return [serial, settled.tokens, settled.requests, returned.tokens, returned.requests];
}

function encodeWaiting({total, head, waitedMs}: WaitingNeed): z.infer<typeof WireWaiting> {
	return [total.tokens, total.requests, head.tokens, head.requests, waitedMs];
}

function encodeCustomer({customer, wanted = NO_AMOUNTS, waiting, reports = []}: CustomerExchange): z.infer<typeof WireCustomer> {
	return [customer, wanted.tokens, wanted.requests, waiting ? encodeWaiting(waiting) : null, reports.map(report => encodeReport(report))];
}

export function encodeShareRequest(req: ShareRequest): WireShareRequest {
	return [req.hostId, req.startId, req.ownerTerm, req.serial, req.customers.map(entry => encodeCustomer(entry))];
}

export function encodeShareAnswer(answer: ShareAnswer): WireShareAnswer {
	const grants = answer.grants.map(({customer, serial, amounts, short, retryAfterMs}): z.infer<typeof WireGrant> => [customer, serial, amounts.tokens, amounts.requests, short, retryAfterMs]);
	return [answer.ownerTerm, answer.serial, answer.blockedMs, grants];
}

function decodeReport([serial, settledTokens, settledRequests, returnedTokens, returnedRequests]: z.infer<typeof WireReport>): GrantReport {
	const returned = {tokens: returnedTokens, requests: returnedRequests};
	return {serial, settled: {tokens: settledTokens, requests: settledRequests}, ...(hasAmounts(returned) && {returned})};
}

function decodeWaiting([tokens, requests, headTokens, headRequests, waitedMs]: z.infer<typeof WireWaiting>): WaitingNeed {
	return {total: {tokens, requests}, head: {tokens: headTokens, requests: headRequests}, waitedMs};
}

function decodeCustomer([customer, tokens, requests, waiting, reports]: z.infer<typeof WireCustomer>): CustomerExchange {
	const wanted = {tokens, requests};
	return {
		customer,
		...(hasAmounts(wanted) && {wanted}),
		...(waiting && {waiting: decodeWaiting(waiting)}),
		...(reports.length > 0 && {reports: reports.map(report => decodeReport(report))}),
	};
}

export function decodeShareRequest([hostId, startId, ownerTerm, serial, customers]: WireShareRequest): ShareRequest {
	return {
		hostId, startId, ownerTerm, serial, customers: customers.map(entry => decodeCustomer(entry)),
	};
}

export function decodeShareAnswer([ownerTerm, serial, blockedMs, grants]: WireShareAnswer): ShareAnswer {
	return {
		ownerTerm,
		serial,
		blockedMs,
		grants: grants.map(([customer, grantSerial, tokens, requests, short, retryAfterMs]) => ({
			customer, serial: grantSerial, amounts: {tokens, requests}, short, retryAfterMs,
		})),
	};
}
