import type {ConfigDocument} from '@egretrill/common';
import {StandInEngine, StandInService} from '@egretrill/stand-ins';
import {
	createLocalConfig, type DaemonProcess, recordExchange, Fleet, getLocalKey, OPERATOR_KEY, type RecordedAnswer, waitFor,
} from '@egretrill/testkit';
import {expect} from 'chai';
import got from 'got';

const zones = ['zone-a', 'zone-b', 'zone-c'];
const resident = [{model: 'inscription', version: 'v1', adapters: ['plaque']}];
const yardKey = {authorization: `Bearer ${getLocalKey('yard')}`};
const portKey = {authorization: `Bearer ${getLocalKey('port')}`};
const operatorKey = {authorization: `Bearer ${OPERATOR_KEY}`};

const millKey = {authorization: `Bearer ${getLocalKey('mill')}`};
const MAX_KEY_LEASE_MS = 10_000;

/** One customer has a longer key lease than the others, so its keys are accepted longer in a cut-off zone. */
function createConfig(): ConfigDocument {
	const config = createLocalConfig(zones, ['yard', 'port', 'mill']);
	return {...config, customers: config.customers.map(customer => customer.id === 'mill' ? {...customer, keyLeaseMs: MAX_KEY_LEASE_MS} : customer)};
}

type Status = {readonly leader: string | undefined; readonly inForce: {readonly version: number} | undefined};
type Withdrawal = {readonly result: string; readonly waitingFor?: readonly string[]};

async function admin<T>(host: DaemonProcess, path: string, body?: unknown): Promise<T> {
	const res = await got<T>(`http://${host.addresses.admin}${path}`, {
		method: body === undefined ? 'GET' : 'POST', ...(body !== undefined && {json: body}), headers: operatorKey, responseType: 'json', throwHttpErrors: false, retry: {limit: 0},
	});
	return res.body;
}

async function send(host: DaemonProcess, path: string, headers: Record<string, string> = {}, body = ''): Promise<RecordedAnswer> {
	const answer = await recordExchange(`http://${host.addresses.callers}${path}`, {body, headers});
	return {...answer, body: answer.body.replace(/"run":\d+/v, '"run":N')};
}

async function order(host: DaemonProcess, idempotencyKey: string, key = yardKey): Promise<RecordedAnswer> {
	return send(host, '/orders', {...key, 'idempotency-key': idempotencyKey}, idempotencyKey);
}

async function chat(host: DaemonProcess, tokens: number): Promise<RecordedAnswer> {
	return send(host, '/v1/chat/completions', yardKey, JSON.stringify({
		model: 'inscription', max_tokens: tokens, stream: true, messages: [{role: 'user', content: 'Draft.'}],
	}));
}

describe('a fleet under network partitions', () => {
	let fleet: Fleet;
	let engine: StandInEngine;
	let registry: StandInService;
	let ordering: StandInService;

	before(async () => {
		fleet = await Fleet.start({
			fleet: 'local', zones: [...zones, 'zone-c'], config: createConfig(), hasLinks: true,
		});
		// All targets are in the zone that is cut off, so that its requests do not depend on other zones.
		const zoneOptions = {zone: 'zone-c', hosts: [...fleet.getTargetAddresses('zone-c')]};
		engine = await new StandInEngine({...zoneOptions, targetId: 'engine-1', resident}).start();
		registry = await new StandInService({...zoneOptions, targetId: 'registry-1', service: 'registry'}).start();
		ordering = await new StandInService({...zoneOptions, targetId: 'ordering-1', service: 'ordering'}).start();
	});

	beforeEach(async () => {
		await fleet.heal();
		await waitUntilServing(fleet.hosts);
	});

	after(async () => {
		await Promise.all([engine, registry, ordering].map(async target => target.stop()));
		await fleet.stop();
	});

	/** Waits until each host serves keyed calls, completions and orders. */
	async function waitUntilServing(hosts: readonly DaemonProcess[]): Promise<void> {
		await Promise.all(hosts.map(async host => waitFor(`service at ${host.peer.id}`, async () => {
			const answers = await Promise.all([send(host, '/registry/ready', yardKey), chat(host, 1), order(host, `ready-${host.peer.id}-${performance.now()}`)]);
			return answers.every(({status}) => status === 200) || undefined;
		})));
	}

	async function waitForLeader(hosts: readonly DaemonProcess[], isWanted: (leader: string) => boolean = () => true): Promise<DaemonProcess> {
		return waitFor('a leader', async () => {
			const answers = await Promise.all(hosts.map(async host => admin<Status>(host, '/v1/status')));
			const leader = answers[0]?.leader ?? undefined;
			return leader !== undefined && isWanted(leader) && answers.every(answer => answer.leader === leader) ? fleet.hosts.find(host => host.peer.id === leader) : undefined;
		});
	}

	async function getVersion(host: DaemonProcess): Promise<number> {
		const {version} = await admin<{version: number}>(host, '/v1/config');
		return version;
	}

	/** Applies a change of one customer's weight; returns the new version, or 0 if it was not accepted. */
	async function apply(host: DaemonProcess, requestId: string): Promise<number> {
		const {document, version} = await admin<{document: ConfigDocument; version: number}>(host, '/v1/config');
		const customers = document.customers.map(customer => customer.id === 'port' ? {...customer, weight: customer.weight + 1} : customer);
		const answer = await admin<{result: string; version?: number}>(host, '/v1/config/apply', {
			document: {...document, customers, version: version + 1}, follows: version, requestId,
		});
		return answer.result === 'accepted' ? answer.version ?? 0 : 0;
	}

	/** Sends keyed calls one after another until the key lease has ended; returns all answers. */
	async function sendUntilLeaseEnds(host: DaemonProcess): Promise<readonly RecordedAnswer[]> {
		const answers: RecordedAnswer[] = [];
		await waitFor('the end of the key lease', async () => {
			const answer = await send(host, '/registry/mark', yardKey);
			answers.push(answer);
			return answer.body.includes('cannot confirm that the key') || undefined;
		});
		return answers;
	}

	/** Repeats a keyed call until it is refused, and returns the refusal. */
	async function waitForRefusal(host: DaemonProcess, headers: Record<string, string>): Promise<RecordedAnswer> {
		return waitFor(`a refusal at ${host.peer.id}`, async () => {
			const answer = await send(host, '/registry/mark', headers);
			return answer.status === 200 ? undefined : answer;
		});
	}

	// Guards against a cut-off zone that keeps accepting keys or runs calls it cannot record, and against one that stops serving calls that need neither.
	it('serves in a cut-off zone what needs neither a key lease nor a record', async () => {
		const host = fleet.getHost(2);
		const sentBefore = engine.sentChunks;
		const stream = chat(host, 1200);
		await waitFor('the first tokens', () => engine.sentChunks > sentBefore + 3 || undefined);
		// Steady demand ensures that the host holds a share of the customer's bucket when the zone is cut off.
		for (let i = 0; i < 100; i++) {
			await send(host, '/registry/mark', yardKey);
		}

		fleet.cutZone('zone-c');
		// The host's share is small, so the call that must be served is sent before the order uses it up.
		const first = await send(host, '/registry/mark', yardKey);
		const [open, recorded, keyed] = await Promise.all([send(host, '/public/mark'), order(host, 'cut-off'), sendUntilLeaseEnds(host)]);
		const served = [first, ...keyed].find(({status}) => status === 200);
		const refused = keyed.filter(({status}) => status !== 200);
		expect(refused.every(({body, headers}) => body.includes('zone-cut-off') && headers['x-egretrill-verdict'] === 'not-run')).to.equal(true);
		// The other customer's key lease of 4 s has expired and this one's has not, so the order can only be refused for the missing record.
		const later = await order(host, 'cut-off-later', millKey);
		expect(ordering.runs).not.to.include('cut-off-later');
		const whole = await stream;
		expect(ordering.runs).not.to.include('cut-off');
		// The share is spent before the call is recorded, so a call is refused for its exhausted share first.
		expect(recorded.headers['x-egretrill-verdict']).to.equal('not-run');
		expect(recorded.body).to.match(/record-unavailable|zone-cut-off/v);
		expect(whole.body.match(/"seq":/gv)?.length).to.equal(1200);
		expect({
			open, keyed: served, late: refused.at(-1), 'open later': await send(host, '/public/mark'), isStreamWhole: whole.body.includes('[DONE]'),
		}).toMatchSnapshot();
		expect(later).toMatchSnapshot();
	});

	// Guards against a resumed leader that acts on its old term, and against a change that is lost with the leader that accepted it.
	it('replaces a paused leader and loses no change', async () => {
		const voters = fleet.hosts.slice(0, 3);
		const oldLeader = await waitForLeader(voters);
		const others = voters.filter(host => host !== oldLeader);
		const [other] = others;
		const applied = await apply(oldLeader, 'before-pause');
		oldLeader.pause();
		const newLeader = await waitForLeader(others, id => id !== oldLeader.peer.id);
		const version = await apply(newLeader, 'during-pause');
		const leaderLineCount = oldLeader.log.filter(line => line.msg === 'This host leads.').length;
		oldLeader.resume();
		const seen: number[] = [];
		await waitFor('the resumed host', async () => {
			const {leader, inForce} = await admin<Status>(oldLeader, '/v1/status');
			seen.push(inForce?.version ?? 0);
			return (leader === newLeader.peer.id && inForce?.version === version) || undefined;
		});
		expect(version).to.be.greaterThan(applied);
		expect(seen.every((value, i) => value >= (seen[i - 1] ?? applied))).to.equal(true);
		expect(oldLeader.log.filter(line => line.msg === 'This host leads.')).to.have.length(leaderLineCount);
		expect(other && await getVersion(other)).to.equal(version);
	});

	// Guards against a leader that accepts changes without a majority, and against two leaders that each accept a change.
	it('accepts no change on an isolated leader', async () => {
		const voters = fleet.hosts.slice(0, 3);
		const oldLeader = await waitForLeader(voters);
		const others = voters.filter(host => host !== oldLeader);
		fleet.cutZone(oldLeader.peer.zone);
		const isolatedChange = apply(oldLeader, 'isolated');
		const newLeader = await waitForLeader(others, id => id !== oldLeader.peer.id);
		const version = await apply(newLeader, 'majority');
		expect(await isolatedChange).to.equal(0);
		const state = await admin<Withdrawal>(oldLeader, '/v1/keys/yard-1/withdrawal');
		expect(state.result).to.equal('unavailable');
		await fleet.heal();
		await waitFor('the same version everywhere', async () => {
			const versions = await Promise.all(fleet.hosts.map(async host => getVersion(host)));
			return versions.every(value => value === version) || undefined;
		});
	});

	// Guards against a connection that is kept open although it no longer delivers data.
	it('replaces connections between hosts that go silent for good', async () => {
		const voters = fleet.hosts.slice(0, 3);
		const oldLeader = await waitForLeader(voters);
		for (const {peer} of fleet.hosts.filter(host => host !== oldLeader)) {
			fleet.getLink(oldLeader.peer, peer).blackhole();
			fleet.getLink(peer, oldLeader.peer).blackhole();
		}

		const version = await waitFor('an accepted change', async () => await apply(oldLeader, `silent-${performance.now()}`) || undefined);
		await waitFor('the change everywhere', async () => {
			const versions = await Promise.all(fleet.hosts.map(async host => getVersion(host)));
			return versions.every(value => value >= version) || undefined;
		});
		await waitUntilServing(fleet.hosts);
	});

	// Guards against a connection that is considered alive although only one direction works.
	it('treats the loss of one direction as a lost connection', async () => {
		const voters = fleet.hosts.slice(0, 3);
		const oldLeader = await waitForLeader(voters);
		const others = voters.filter(host => host !== oldLeader);
		for (const {peer} of fleet.hosts) {
			if (peer.id !== oldLeader.peer.id) {
				fleet.cutOneWay(peer, oldLeader.peer);
			}
		}

		const newLeader = await waitForLeader(others, id => id !== oldLeader.peer.id);
		expect(await apply(newLeader, 'one-way')).to.be.greaterThan(0);
		const refusal = await waitForRefusal(oldLeader, yardKey);
		expect(refusal).toMatchSnapshot();
	});

	// Guards against a withdrawal that is reported as in force while a cut-off host still accepts the key, and against a host that returns to an older configuration.
	it('reports a withdrawal as pending until a cut-off host can no longer accept the key', async () => {
		const [host, remoteHost] = [fleet.getHost(3), fleet.getHost(0)];
		const before = await getVersion(host);
		fleet.cutZone('zone-c');
		const leader = await waitForLeader([remoteHost, fleet.getHost(1)], id => id === 'host-1' || id === 'host-2');
		const first = await waitFor('an accepted withdrawal', async () => {
			const answer = await admin<Withdrawal>(leader, '/v1/keys/port-1/withdraw', {requestId: 'withdraw-port-1'});
			return answer.result === 'unavailable' ? undefined : answer;
		});
		expect(first).to.deep.include({result: 'pending'});
		expect(first.waitingFor).to.include.members(['host-3', 'host-4']);
		const seen: string[] = [];
		await waitFor('the withdrawal in force', async () => {
			const [answer, state] = await Promise.all([send(host, '/registry/mark', portKey), admin<Withdrawal>(leader, '/v1/keys/port-1/withdrawal')]);
			seen.push(`${state.result} ${answer.status === 200 ? 'served' : 'refused'}`);
			return state.result === 'in-force' || undefined;
		});
		expect(seen).not.to.include('in-force served');
		const refused = await Promise.all([fleet.getHost(2), host].map(async cut => send(cut, '/registry/mark', portKey)));
		const versions = [await getVersion(host)];
		await fleet.heal();
		await waitFor('service after healing', async () => {
			versions.push(await getVersion(host));
			const answer = await send(host, '/registry/mark', yardKey);
			return answer.status === 200 || undefined;
		});
		// A host that serves keyed calls again has received the withdrawal; a version read before the served call may be older.
		versions.push(await getVersion(host));
		expect(versions).to.deep.equal(versions.toSorted((a, b) => a - b));
		expect(versions.at(-1)).to.be.greaterThan(before);
		expect(versions.at(-1)).to.equal(await getVersion(leader));
		expect({refused, 'after healing': await send(host, '/registry/mark', portKey)}).toMatchSnapshot();
	});

	// Guards against a host that serves keyed calls based on a configuration from before its restart.
	it('is not ready after a restart while cut off', async () => {
		const voter = fleet.getHost(2);
		const version = await getVersion(voter);
		fleet.cutZone('zone-c');
		const hosts = [voter, fleet.getHost(3)];
		await Promise.all(hosts.map(async host => host.kill()));
		await Promise.all(hosts.map(async host => host.start()));
		const [first, second] = await Promise.all(hosts.map(async host => recordExchange(`http://${host.addresses.health}/readyz`, {method: 'GET'})));
		const keyed = await Promise.all(hosts.map(async host => send(host, '/registry/mark', yardKey)));
		expect({first, second, keyed}).toMatchSnapshot();
		const served = await admin<{version?: number}>(voter, '/v1/config');
		// Without the leader it cannot tell which entries of its log are committed; it may report no version, but no older one.
		expect([undefined, version]).to.include(served.version);
		await fleet.heal();
		await Promise.all(hosts.map(async host => host.waitUntilReady()));
		expect(await getVersion(fleet.getHost(3))).to.equal(version);
	});
});
