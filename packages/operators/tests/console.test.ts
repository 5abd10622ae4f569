import {ConfigDocument, ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import type {Request, Response} from 'express';
import {z} from 'zod';
import {documentFields, sections, type FormSection} from '../src/console/form-sections.js';
import {SessionStore} from '../src/console/session.js';
import {getDigest, MAX_SESSIONS, SESSION_TTL_MS} from '../src/index.js';
import {
	createDocument, credential, getBasicHeader, MemoryFleet, normalise, withAdmin, type Exchange,
} from './memory-fleet.js';

type Send = (path: string, init?: RequestInit) => Promise<Exchange>;
type Fields = Readonly<Record<string, string>>;

const authorization = getBasicHeader('ben', credential);
function unescapeHtml(text: string): string {
	return text.replaceAll('&quot;', '"').replaceAll('&#39;', '\'').replaceAll('&lt;', '<').replaceAll('&gt;', '>').replaceAll('&amp;', '&');
}

/** Parses the fields that a browser would submit with the page's main form. */
function readForm({body}: Exchange): URLSearchParams {
	const params = new URLSearchParams();
	const form = /<form method="post" action="\/console">.*?<\/form>/sv.exec(body)?.[0] ?? '';
	for (const [tag] of form.matchAll(/<select[^>]*>.*?<\/select>|<input[^>]*>/gv)) {
		const name = /name="(?<name>[^"]*)"/v.exec(tag)?.groups?.name ?? '';
		const value = /(?:value="|<option selected>)(?<value>[^"<]*)/v.exec(tag)?.groups?.value ?? '';
		if (!tag.includes('type="checkbox"') || tag.includes(' checked')) {
			params.set(name, unescapeHtml(value));
		}
	}

	return params;
}

async function submit(send: Send, page: Exchange, fields: Fields, headers: Fields = {}): Promise<Exchange> {
	const body = readForm(page);
	for (const [name, value] of Object.entries(fields)) {
		body.set(name, value);
	}

	return send('/console', {method: 'POST', headers: {authorization, ...headers}, body});
}

async function open(send: Send): Promise<Exchange> {
	return send('/console', {headers: {authorization}});
}

function show(exchange: Exchange) {
	return {...exchange, headers: {...exchange.headers, 'set-cookie': normalise(exchange.headers['set-cookie'] ?? '')}, body: normalise(exchange.body).split('\n')};
}

type JsonSchema = {properties?: Record<string, JsonSchema>; items?: JsonSchema; oneOf?: JsonSchema[]};

function getSchemaPaths({properties, items, oneOf}: JsonSchema, prefix: string): ReadonlySet<string> {
	const inner = [...(oneOf ?? []).map(branch => getSchemaPaths(branch, prefix)), ...(items ? [getSchemaPaths(items, prefix)] : [])];
	const named = Object.entries(properties ?? {}).map(([name, child]) => getSchemaPaths(child, prefix === '' ? name : `${prefix}.${name}`));
	return new Set(inner.length + named.length === 0 ? [prefix] : [...inner, ...named].flatMap(paths => [...paths]));
}

function getFormPaths({fields, lists}: FormSection, prefix: string): readonly string[] {
	return [...fields.map(field => `${prefix}.${field.name}`), ...(lists ?? []).flatMap(list => getFormPaths(list, `${prefix}.${list.path}`))];
}

describe('console', () => {
	it('shows the whole document as a labelled form', async () => {
		await withAdmin(new MemoryFleet(), async send => {
			const page = await open(send);
			expect(show(page)).toMatchSnapshot();
			const ids = [...page.body.matchAll(/<(?:input type="(?:text|checkbox)"|select)[^>]* id="(?<id>[^"]+)"/gv)].map(match => match.groups?.id);
			expect(ids.filter(id => !page.body.includes(`<label for="${id}">`))).to.deep.equal([]);
			expect(new Set(ids).size).to.equal(ids.length);
		});
	});

	it('reviews the difference and applies it with the version it follows; an unchanged form loses no field', async () => {
		const fleet = new MemoryFleet();
		await withAdmin(fleet, async send => {
			const review = await submit(send, await open(send), {action: 'review', 'customers.0.rate.burstTokens': '5000', 'keys.0.state': 'withdrawn'});
			expect(show(review)).toMatchSnapshot();
			expect(fleet.inForce?.version).to.equal(1);
			const accepted = await submit(send, review, {action: 'apply'});
			expect(show(accepted)).toMatchSnapshot();
			expect(await submit(send, review, {action: 'apply'})).to.deep.equal(accepted);
		});
		const before = createDocument();
		expect(fleet.inForce?.document).to.deep.equal({
			...before, version: 2, keys: [{...before.keys[0]!, state: 'withdrawn'}], customers: [{...before.customers[0]!, rate: {...before.customers[0]!.rate, burstTokens: 5000}}],
		});
	});

	it('shows the secret of an added key once and keeps only its digest', async () => {
		const fleet = new MemoryFleet();
		await withAdmin(fleet, async send => {
			const added = await submit(send, await open(send), {action: 'add keys'});
			const secret = /<code>(?<secret>[\w\-]{43})<\/code>/v.exec(added.body)?.groups?.secret ?? '';
			const review = await submit(send, added, {action: 'review', 'keys.1.id': 'k2', 'keys.1.customer': 'atlas'});
			expect(review.body).not.to.include(secret);
			const accepted = await submit(send, review, {action: 'apply'});
			expect(accepted.status).to.equal(200);
			expect(fleet.inForce?.document.keys[1]).to.deep.equal({
				id: 'k2', customer: 'atlas', digest: getDigest(secret), state: 'active',
			});
			const later = await open(send);
			expect(later.body).not.to.include(secret);
		});
	});

	it('puts faults at their fields with a linked summary and escapes markup, so that a customer name cannot run a script', async () => {
		const fleet = new MemoryFleet();
		await withAdmin(fleet, async send => {
			const page = await submit(send, await open(send), {
				action: 'review', 'customers.0.id': '"><script>alert(1)</script>', 'customers.0.weight': 'much', 'zones.0.id': '', 'models.0.adapters.0.memoryMb': '-1',
			});
			expect(page.body).not.to.include('<script>');
			const lines = page.body.split('\n').filter(line => /class="(?:summary|fault)"|aria-invalid|<li><a href="#f-(?:customers|zones|models)-/v.test(line));
			expect({status: page.status, lines}).toMatchSnapshot();
			const links = [...page.body.matchAll(/href="#(?<id>f-[^"]+)"/gv)].map(match => match.groups?.id);
			expect(links.filter(id => !page.body.includes(`id="${id}"`))).to.deep.equal([]);
		});
		expect(fleet.inForce?.version).to.equal(1);
	});

	it('adds and removes entries in any list without a script', async () => {
		await withAdmin(new MemoryFleet(), async send => {
			let page = await open(send);
			const actions = [
				'add models.0.adapters', 'add placements.forbids', 'add customers', 'remove zones.0', 'remove models.0.adapters.0', 'add models.7.adapters', 'remove models.7', 'add nothing',
			];
			for (const action of actions) {
				page = await submit(send, page, {action});
				expect(page.status, action).to.equal(200);
			}

			const names = new Set(readForm(page).keys());
			const present = ['zones.0.id', 'models.0.adapters.0.id', 'placements.forbids.0.model', 'customers.1.id'];
			expect(names).to.include.members(present);
			expect(names).not.to.include('zones.1.id').and.not.to.include('models.0.adapters.1.id');
		});
	});

	it('shows on a conflict which change won and what keeping the document would undo', async () => {
		const fleet = new MemoryFleet();
		await withAdmin(fleet, async send => {
			const losing = await submit(send, await open(send), {action: 'review', 'customers.0.weight': '2'});
			const winning = await submit(send, await open(send), {action: 'review', 'customers.0.weight': '3'});
			await submit(send, winning, {action: 'apply'});
			const conflict = await submit(send, losing, {action: 'apply'});
			expect(show(conflict)).toMatchSnapshot();
			expect(fleet.inForce?.document.customers[0]?.weight).to.equal(3);
			const review = await submit(send, conflict, {action: 'rebase'});
			const accepted = await submit(send, review, {action: 'apply'});
			expect(accepted.status).to.equal(200);
			expect(fleet.inForce?.version).to.equal(3);
		});
	});

	it('offers a safe resend when the effect is unknown', async () => {
		const fleet = new MemoryFleet();
		await withAdmin(fleet, async send => {
			const review = await submit(send, await open(send), {action: 'review', 'customers.0.weight': '2'});
			fleet.injectedOutcome = new Error('connection lost');
			const unknown = await submit(send, review, {action: 'apply'});
			expect(show(unknown)).toMatchSnapshot();
			expect(readForm(unknown).get('requestId')).to.equal(readForm(review).get('requestId'));
			const accepted = await submit(send, unknown, {action: 'apply'});
			expect(accepted.status).to.equal(200);
		});
	});

	// Guards against a referrer policy that makes browsers send `Origin: null`, with which every sign-in is refused as cross-site.
	it('accepts a sign-in with the origin that a browser sends under the policy of the page', async () => {
		await withAdmin(new MemoryFleet(), async (send, consoleOrigin) => {
			const page = await send('/console/sign-in');
			const origin = page.headers['referrer-policy'] === 'no-referrer' ? 'null' : consoleOrigin;
			const answer = await send('/console/sign-in', {
				method: 'POST',
				headers: {origin, 'sec-fetch-site': 'same-origin'},
				body: new URLSearchParams({user: 'ana', credential}),
			});
			expect({status: answer.status, location: answer.headers.location}).toMatchSnapshot();
		});
	});

	it('refuses posts of other sites, altered forms and wrong credentials without applying anything', async () => {
		const fleet = new MemoryFleet();
		await withAdmin(fleet, async send => {
			const review = await submit(send, await open(send), {action: 'review', 'customers.0.weight': '2'});
			const answers = [
				await submit(send, review, {action: 'apply', token: 'x'.repeat(43)}),
				await submit(send, review, {action: 'apply', token: ''}),
				await submit(send, review, {action: 'apply'}, {origin: 'http://evil.example'}),
				await submit(send, review, {action: 'apply'}, {origin: 'null'}),
				await submit(send, review, {action: 'apply'}, {'sec-fetch-site': 'cross-site'}),
				await submit(send, review, {action: 'apply', draft: '{"version":'}),
				await submit(send, review, {action: 'apply'}, {authorization: getBasicHeader('ben', 'wrong')}),
			];
			expect(answers.map(({status, body}) => [status, /<h1>.*<\/h1>/v.exec(body)?.[0]])).toMatchSnapshot();
		});
		expect(fleet.inForce?.version).to.equal(1);
	});

	it('builds the first configuration from an empty form', async () => {
		const fleet = new MemoryFleet();
		fleet.inForce = undefined;
		await withAdmin(fleet, async send => {
			const fields = {
				fleet: 'demo', 'zones.0.id': 'a', 'zones.0.region': 'r', 'weightStore.loadsPerSecond': '2', 'weightStore.concurrentLoads': '9', 'weightStore.concurrentAdapterLoads': '70',
			};
			const review = await submit(send, await open(send), {action: 'review', ...fields});
			const accepted = await submit(send, review, {action: 'apply'});
			expect(show(accepted)).toMatchSnapshot();
			expect(fleet.inForce?.document).toMatchSnapshot();
		});
	});

	it('has a field for everything in the schema, so that a new schema field cannot be dropped by the form', () => {
		const formPaths = new Set([...documentFields.map(field => field.name), ...sections.flatMap(section => getFormPaths(section, section.path))]);
		expect([...getSchemaPaths(z.toJSONSchema(ConfigDocument, {io: 'input'}) as JsonSchema, '')].filter(path => !formPaths.has(path))).to.deep.equal(['version']);
	});

	it('signs operators in with a cookie that scripts and other sites cannot use, and out again', async () => {
		await withAdmin(new MemoryFleet(), async send => {
			const wrong = await send('/console/sign-in', {method: 'POST', body: new URLSearchParams({credential: 'wrong'})});
			const right = await send('/console/sign-in', {method: 'POST', body: new URLSearchParams({credential, user: 'eva'})});
			expect([await send('/console'), await send('/console/sign-in'), wrong, right].map(exchange => show(exchange))).toMatchSnapshot();
			const cookie = right.headers['set-cookie']?.split(';')[0] ?? '';
			const page = await send('/console', {headers: {cookie}});
			expect(page.body).to.include('Signed in as eva');
			await send('/console/sign-out', {method: 'POST', headers: {cookie}, body: readForm(page)});
			const later = await send('/console', {headers: {cookie}});
			expect(later.status).to.equal(303);
		});
	});

	it('ends sessions after their lifetime and limits their number, so that a forgotten browser stays signed in no longer than a working day', () => {
		const clock = new ManualClock();
		const sessions = new SessionStore(getDigest(credential), true, clock);
		const cookies: string[] = [];
		const res = {cookie: (name: string, id: string) => cookies.push(`${name}=${id}`)} as unknown as Response;
		for (let i = 0; i <= MAX_SESSIONS; i++) {
			sessions.signIn(res, credential, 'eva');
		}

		const isKnown = (cookie: string) => sessions.getIdentity({headers: {cookie}} as unknown as Request) !== undefined;
		expect(cookies.map(cookie => isKnown(cookie))).to.deep.equal([false, ...cookies.slice(1).map(() => true)]);
		clock.advance(SESSION_TTL_MS);
		expect(cookies.some(cookie => isKnown(cookie))).to.equal(false);
	});
});
