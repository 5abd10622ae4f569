import {
	createLocalConfig, type DaemonProcess, recordExchange, Fleet, getBreaches, getConfig, getLocalKey, getWithdrawal,
	StreamingCall, type RecordedAnswer, setZoneState, TargetProcess, waitFor, withdrawKey,
} from '@egretrill/testkit';
import {expect} from 'chai';

const zones = ['zone-a', 'zone-b', 'zone-c'];
const resident = [{model: 'inscription', version: 'v1', adapters: ['plaque']}];

function getHeaders(customer: string, idempotencyKey?: string): Record<string, string> {
	return {authorization: `Bearer ${getLocalKey(customer)}`, ...(idempotencyKey !== undefined && {'idempotency-key': idempotencyKey})};
}

async function placeOrder(host: DaemonProcess, idempotencyKey: string, body = 'plaque 1'): Promise<RecordedAnswer> {
	return recordExchange(`http://${host.addresses.callers}/orders`, {headers: getHeaders('yard', idempotencyKey), body});
}

function startDraft(host: DaemonProcess, customer: string, fields: Record<string, unknown> = {}): StreamingCall {
	return new StreamingCall(`http://${host.addresses.callers}/v1/chat/completions`, {
		headers: getHeaders(customer),
		body: JSON.stringify({
			model: 'inscription', max_tokens: 2, messages: [{role: 'user', content: 'Draft.'}], ...fields,
		}),
	});
}

async function draft(host: DaemonProcess, customer: string, fields: Record<string, unknown> = {}): Promise<RecordedAnswer> {
	return startDraft(host, customer, fields).ended;
}

function getOutcome({status, headers, body}: RecordedAnswer): Record<string, unknown> {
	const code = /"code":"(?<code>[^"]+)"/v.exec(body)?.groups?.code;
	return {status, verdict: headers['x-egretrill-verdict'], ...(code !== undefined && {code})};
}

function isWhole({body}: Pick<RecordedAnswer, 'body'>): boolean {
	return body.includes('[DONE]');
}

async function isTakenOut(host: DaemonProcess, zone: string): Promise<boolean> {
	const {document} = await getConfig(host);
	return document.zones.some(({id, state}) => id === zone && state === 'taken-out');
}

// The callbacks of waits within tests are nested one level deeper than the linter's default limit.
/* eslint max-nested-callbacks: ["error", 5] */
describe('promises of a fleet of processes under failure', () => {
	let fleet: Fleet;
	let targets: readonly TargetProcess[];

	beforeEach(async () => {
		fleet = await Fleet.start({fleet: 'local', zones, config: createLocalConfig(zones)});
		targets = await Promise.all(zones.flatMap(zone => {
			const hosts = [...fleet.getTargetAddresses(zone)];
			return [
				TargetProcess.start({
					kind: 'engine', targetId: `engine-${zone}`, zone, hosts, resident, slots: 16,
				}),
				TargetProcess.start({
					kind: 'service', targetId: `ordering-${zone}`, zone, service: 'ordering', hosts,
				}),
			];
		}));
		await waitFor('orders and drafts at every host', async () => {
			const answers = await Promise.all(fleet.hosts.map(async host => draft(host, 'yard')));
			return answers.every(({status}) => status === 200) || undefined;
		});
	});

	afterEach(async () => {
		expect(await getBreaches(fleet.hosts)).to.deep.equal([]);
		await Promise.all(targets.map(async target => target.kill()));
		await fleet.stop();
	});

	async function getRuns(): Promise<readonly string[]> {
		const books = await Promise.all(targets.filter(target => target.isAlive).map(async target => target.getRecords()));
		return books.flatMap(({runs}) => runs ?? []);
	}

	it('runs an order once, whichever host receives its retries, also after kill -9 and a restart', async () => {
		const [first, second, third] = [fleet.getHost(0), fleet.getHost(1), fleet.getHost(2)];
		const original = await placeOrder(first, 'order-1');
		const retried = await placeOrder(second, 'order-1');
		await Promise.all(fleet.hosts.map(async host => host.kill()));
		await Promise.all(fleet.hosts.map(async host => host.start()));
		await Promise.all(fleet.hosts.map(async host => host.waitUntilReady()));
		const afterRestart = await waitFor('the ordering service', async () => {
			const answer = await placeOrder(third, 'order-1');
			return answer.status === 503 ? undefined : answer;
		});
		expect([original, retried, afterRestart].map(answer => answer.body === original.body)).to.deep.equal([true, true, true]);
		expect({
			original: getOutcome(original), otherBody: getOutcome(await placeOrder(second, 'order-1', 'plaque 2')), runs: await getRuns(),
		}).toMatchSnapshot();
	});

	it('reports "may have run" for an order whose answer was lost, and never resends it', async () => {
		await Promise.all(targets.map(async target => target.setFaults({loseAnswer: true})));
		const lost = await placeOrder(fleet.getHost(0), 'order-2');
		await Promise.all(targets.map(async target => target.setFaults({})));
		const resent = await placeOrder(fleet.getHost(1), 'order-2');
		expect({lost: getOutcome(lost), resent: getOutcome(resent), runs: await getRuns()}).toMatchSnapshot();
	});

	it('rejects a withdrawn key at every host within 2 s, and reports it as in force only then', async () => {
		const operator = fleet.getHost(0);
		const inFlight = startDraft(fleet.getHost(1), 'port', {stream: true, max_tokens: 150});
		// A draft that has no target yet when its key is withdrawn may be refused.
		await inFlight.waitFor('data: ');
		const withdrawnMs = performance.now();
		await withdrawKey(operator, 'port-1');
		await waitFor('the withdrawal in force', async () => {
			const {body} = await getWithdrawal(operator, 'port-1');
			return body.result === 'in-force' || undefined;
		});
		const tookMs = performance.now() - withdrawnMs;
		const later = await Promise.all(fleet.hosts.map(async host => draft(host, 'port')));
		const others = await Promise.all(fleet.hosts.map(async host => draft(host, 'yard')));
		expect(tookMs).to.be.below(2000);
		expect({
			later: later.map(answer => getOutcome(answer)), others: others.map(({status}) => status), begunIsWhole: isWhole(await inFlight.ended),
		}).toMatchSnapshot();
	});

	it('sends no new work to a taken-out zone, completes the work in flight there, and uses the zone again after its return', async () => {
		const inFlight = draft(fleet.getHost(1), 'yard', {stream: true, max_tokens: 150});
		await setZoneState(fleet.getHost(0), 'zone-b', 'taken-out');
		await waitFor('the change at every host', async () => {
			const states = await Promise.all(fleet.hosts.map(async host => isTakenOut(host, 'zone-b')));
			return states.every(Boolean) || undefined;
		});
		const before = await Promise.all(targets.map(async target => target.getRecords()));
		const answers = await Promise.all(Array.from({length: 30}, async (_, i) => draft(fleet.getHost(i % 3), 'yard')));
		const after = await Promise.all(targets.map(async target => target.getRecords()));
		const added = after.map((books, i) => (books.begunRequests?.length ?? 0) - (before[i]?.begunRequests?.length ?? 0));
		await setZoneState(fleet.getHost(0), 'zone-b', 'in-service');
		await waitFor('work in the zone after its return', async () => {
			// Exceeds the capacity of the engines in the other zones: at low load, warm engines are preferred to the one that is still cold.
			await Promise.all(Array.from({length: 48}, async () => draft(fleet.getHost(1), 'yard', {max_tokens: 20})));
			const {begunRequests} = await targets[2]!.getRecords();
			return (begunRequests?.length ?? 0) > (after[2]?.begunRequests?.length ?? 0) || undefined;
		});
		expect({
			failed: answers.filter(({status}) => status !== 200).length, newWorkInZone: added[2], begunIsWhole: isWhole(await inFlight),
		}).toMatchSnapshot();
	});

	it('interrupts no request in a planned stop and refuses late callers as not run', async () => {
		const host = fleet.getHost(0);
		const inFlight = Array.from({length: 5}, async () => draft(host, 'yard', {stream: true, max_tokens: 200}));
		await waitFor('the streams', async () => {
			const books = await Promise.all(targets.map(async target => target.getRecords()));
			return books.reduce((sum, {begunRequests}) => sum + (begunRequests?.length ?? 0), 0) >= 5 || undefined;
		});
		const exitCode = await host.terminate();
		const answers = await Promise.all(inFlight);
		expect({exitCode, whole: answers.filter(answer => isWhole(answer)).length}).toMatchSnapshot();
	});

	it('loses no accepted change and serves again after the leader is killed', async () => {
		const leader = await waitFor('a leader', () => fleet.hosts.find(host => host.log.some(line => line.msg === 'This host leads.')));
		await setZoneState(fleet.getHost(0), 'zone-c', 'taken-out');
		await leader.kill();
		const survivor = fleet.hosts.find(host => host !== leader);
		await waitFor('an answer after the loss', async () => {
			const {status} = await draft(survivor!, 'yard');
			return status === 200 || undefined;
		});
		const {document, version} = await getConfig(survivor!);
		expect({version, zones: document.zones}).toMatchSnapshot();
	});

	it('refuses a request that crashed two engines, also when it is sent to another host', async () => {
		await Promise.all(targets.map(async (target, i) => i % 2 === 0 ? target.setFaults({crashOn: 'poison'}) : undefined));
		const body = {messages: [{role: 'user', content: 'poison'}]};
		const first = await draft(fleet.getHost(0), 'yard', body);
		await Promise.all(fleet.hosts.map(async host => waitFor('the block', () => host.log.some(line => line.msg === 'Blocked requests changed.') || undefined)));
		const resent = await Promise.all(fleet.hosts.map(async host => draft(host, 'yard', body)));
		expect({
			first: getOutcome(first), resent: resent.map(answer => getOutcome(answer)), enginesLeft: targets.filter((target, i) => i % 2 === 0 && target.isAlive).length,
		}).toMatchSnapshot();
	});
});
