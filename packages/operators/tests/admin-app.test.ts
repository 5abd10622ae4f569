import {expect} from 'chai';
import {
	createDocument, credential, getBasicHeader, MemoryFleet, normalise, withAdmin, type Exchange,
} from './memory-fleet.js';

const headers = {authorization: `Bearer ${credential}`, 'content-type': 'application/json', 'x-egretrill-operator': 'ben'};

function post(body: unknown, extraHeaders: Readonly<Record<string, string>> = {}): RequestInit {
	return {method: 'POST', headers: {...headers, ...extraHeaders}, body: typeof body === 'string' ? body : JSON.stringify(body)};
}

function show(exchanges: readonly Exchange[]) {
	return exchanges.map(exchange => ({...exchange, body: normalise(exchange.body)}));
}

describe('operators API', () => {
	it('answers each operation with its outcome, status and verdict', async () => {
		await withAdmin(new MemoryFleet(), async send => {
			const gets = ['/v1/config', '/v1/status', '/v1/targets', '/v1/placement/m1', '/v1/placement/m9', '/v1/keys/k1/withdrawal', '/v1/nowhere'];
			const posts: ReadonlyArray<readonly [string, unknown]> = [
				['/v1/config/validate', {document: createDocument()}],
				['/v1/config/validate', {document: createDocument({fleet: 'other'})}],
				['/v1/keys/k1/withdraw', {}],
				['/v1/keys/k9/withdraw', {}],
				['/v1/zones/a/state', {state: 'taken-out'}],
				['/v1/zones/a/state', {state: 'gone'}],
				['/v1/hosts/host-a/drain', {}],
				['/v1/hosts/host-b/drain', {}],
			];
			for (const path of gets) {
				expect(show([await send(path, {headers})])).toMatchSnapshot(`GET ${path}`);
			}

			for (const [path, body] of posts) {
				expect(show([await send(path, post(body))])).toMatchSnapshot(`POST ${path}`);
			}
		});
	});

	it('refuses a missing or wrong credential before it reads anything, so that callers cannot reach operations', async () => {
		const fleet = new MemoryFleet();
		await withAdmin(fleet, async send => {
			const body = {document: createDocument({version: 2}), follows: 1, requestId: 'r1'};
			const wrong = ['', 'Bearer ', 'Bearer wrong', getBasicHeader('ben', credential), `Bearer ${credential}x`];
			const answers = [];
			for (const authorization of wrong) {
				answers.push(await send('/v1/config/apply', post(body, {authorization})));
			}

			answers.push(await send('/v1/openapi.json'));
			expect(new Set(answers.map(answer => JSON.stringify(answer))).size).to.equal(1);
			expect(show(answers.slice(0, 1))).toMatchSnapshot();
		});
		expect(fleet.inForce?.version).to.equal(1);
	});

	it('lets one of two concurrent changes win and reports the winner to the other operator, so that no change is lost silently', async () => {
		await withAdmin(new MemoryFleet(), async send => {
			const document = createDocument({version: 2});
			const answers = await Promise.all(['ben', 'eva'].map(async name =>
				send('/v1/config/apply', post({document, follows: 1, requestId: `r-${name}`}, {'x-egretrill-operator': name}))));
			const sorted = answers.toSorted((a, b) => a.status - b.status);
			const winner = (JSON.parse(sorted[0]!.body) as {author: string}).author;
			expect(show(sorted).map(answer => ({...answer, body: answer.body.replaceAll(winner, '<winner>')}))).toMatchSnapshot();
		});
	});

	it('answers a resend with the first outcome, so that a lost answer does not look like a conflict', async () => {
		await withAdmin(new MemoryFleet(), async send => {
			const init = post({document: createDocument({version: 2}), follows: 1, requestId: 'r1'});
			const first = await send('/v1/config/apply', init);
			expect(first.status).to.equal(200);
			expect(await send('/v1/config/apply', init)).to.deep.equal(first);
		});
	});

	it('reports "not applied", "unknown" and a failure as different outcomes, so that operators never see a wrong one', async () => {
		const fleet = new MemoryFleet();
		await withAdmin(fleet, async send => {
			const answers = [];
			for (const outcome of [
				{result: 'unavailable', effect: 'not-applied', reason: 'There is no leader.'},
				{result: 'unavailable', effect: 'unknown', reason: 'The leader did not answer.'},
				new Error('broken'),
			] as const) {
				fleet.injectedOutcome = outcome;
				answers.push(await send('/v1/config/apply', post({document: createDocument({version: 2}), follows: 1, requestId: 'r1'})));
			}

			expect(show(answers)).toMatchSnapshot();
		});
	});

	it('refuses unreadable bodies and names with faults at their fields', async () => {
		await withAdmin(new MemoryFleet(), async send => {
			expect(show([
				await send('/v1/config/apply', post('{"document":')),
				await send('/v1/config/apply', post({document: {...createDocument(), zones: []}, follows: -1})),
				await send('/v1/config/apply', post('x', {'content-type': 'text/plain'})),
				await send('/v1/keys/k1/withdraw', post({}, {'x-egretrill-operator': '<script>'})),
			])).toMatchSnapshot();
		});
	});

	it('generates the OpenAPI document from the schemas that check the messages', async () => {
		await withAdmin(new MemoryFleet(), async send => {
			const {body} = await send('/v1/openapi.json', {headers});
			expect(JSON.parse(body)).toMatchSnapshot();
		});
	});
});
