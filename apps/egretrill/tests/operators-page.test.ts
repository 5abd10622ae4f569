import {execFile} from 'node:child_process';
import {
	copyFile, readdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import type {ConfigDocument} from '@egretrill/common';
import {FleetStatus} from '@egretrill/operators';
import {StandInEngine, StandInService} from '@egretrill/stand-ins';
import {
	createLocalConfig, type DaemonProcess, recordExchange, Fleet, getConfig, getLocalKey, getWithdrawal, StreamingCall, OPERATOR_KEY, type RecordedAnswer, setZoneState, waitFor,
} from '@egretrill/testkit';
import {expect} from 'chai';
import got from 'got';
import {parse, stringify} from 'yaml';
import {LossyProxy} from './support/lossy-proxy.js';
import {OperatorsPage, type Placeholders} from './support/operators-page.js';
import {
	type CliRun, normalizeRun, type RawRun, runProcess,
} from './support/run-cli.js';

const execute = promisify(execFile);
const rootDir = fileURLToPath(new URL('../../..', import.meta.url));
const daemonFile = path.join(rootDir, 'apps/egretrilld/dist/src/main.js');
const zones = ['zone-a', 'zone-b', 'zone-c'];
/** The page's time limit for the end of new work in a zone that was taken out. */
const ZONE_LEAVE_BOUND_MS = 2000;
const SENDS_PER_CHANGE = 5;

type HostRow = Readonly<Record<string, string>>;

/** Reads the table of hosts that `status` prints, by the names of its columns. */
function readHosts(stdout: string): ReadonlyMap<string, HostRow> {
	const table = stdout.split('\n\n').find(part => part.startsWith('HOST'))?.split('\n') ?? [];
	const [names = [], ...rows] = table.map(line => line.split(/ {2,}/v));
	return new Map(rows.map(cells => [cells[0] ?? '', Object.fromEntries(names.map((name, i) => [name, cells[i] ?? '']))]));
}

describe('the page for operators', () => {
	let page: OperatorsPage;
	let fleet: Fleet;
	let engine: StandInEngine;
	let registries: readonly StandInService[];
	let helpLine: ReturnType<typeof showHelp>;
	let voters: Awaited<ReturnType<typeof getVoters>> | undefined;

	before(async () => {
		page = await OperatorsPage.read();
		// Started before the fleet, because npm takes some seconds and needs no fleet.
		helpLine = showHelp();
		// The fourth host has no data directory and no vote, so that a test may stop it without reducing the number of voters.
		fleet = await Fleet.start({
			fleet: 'local', zones: [...zones, 'zone-c'], config: createLocalConfig(zones), hasLinks: true,
		});
		page.dir = fleet.dir;
		page.env = getNamedVariables();
		engine = await new StandInEngine({
			targetId: 'engine-1', zone: 'zone-b', hosts: [...fleet.getTargetAddresses('zone-b')], resident: [{model: 'inscription', version: 'v1', adapters: []}],
		}).start();
		registries = await Promise.all(['zone-a', 'zone-b'].map(async zone => new StandInService({
			targetId: `registry-${zone}`, zone, service: 'registry', hosts: [...fleet.getTargetAddresses(zone)],
		}).start()));
		await Promise.all(fleet.hosts.map(async host => waitForService(host)));
	});

	after(async () => {
		await Promise.all([engine, ...registries].map(async target => target.stop()));
		await fleet.stop();
	});

	/** Returns the environment variables that the page names, and no others. */
	function getNamedVariables(): Readonly<Record<string, string>> {
		const values: Readonly<Record<string, string>> = {
			EGRETRILL_ADMIN: fleet.getHost(0).addresses.admin, EGRETRILL_OPERATOR_KEY: OPERATOR_KEY, EGRETRILL_OPERATOR: 'ana',
		};
		return Object.fromEntries([...new Set(page.text.match(/EGRETRILL_\w+/gv))].map(name => [name, values[name] ?? '']));
	}

	/** Runs the program with the command that the page gives for a checkout, and returns the first line of its help. */
	async function showHelp(): Promise<string | undefined> {
		const [program = '', ...args] = /in a checkout run it, [^`]+`npm ci`[^`]+`npm run build`, as `(?<line>[^`]+)`/v.exec(page.text)?.groups?.line?.split(' ') ?? [];
		const {stdout} = await execute(program, [...args, '--help'], {cwd: rootDir, env: {...process.env, npm_config_offline: 'true'}});
		return stdout.split('\n')[0];
	}

	async function call(host: DaemonProcess, key = getLocalKey('yard')): Promise<RecordedAnswer> {
		return recordExchange(`http://${host.addresses.callers}/registry/mark`, {headers: {authorization: `Bearer ${key}`}, body: ''});
	}

	function sendDraft(host: DaemonProcess): StreamingCall {
		return new StreamingCall(`http://${host.addresses.callers}/v1/chat/completions`, {
			headers: {authorization: `Bearer ${getLocalKey('yard')}`},
			body: JSON.stringify({
				model: 'inscription', max_tokens: 20, stream: true, messages: [{role: 'user', content: 'Draft.'}],
			}),
		});
	}

	async function waitForService(host: DaemonProcess): Promise<void> {
		await waitFor(`service at ${host.peer.id}`, async () => {
			const [answer, stream] = await Promise.all([call(host), sendDraft(host).ended]);
			return (answer.status === 200 && stream.status === 200) || undefined;
		});
	}

	/** Starts a stream that the engine pauses until its faults are cleared. */
	async function startDraft(host: DaemonProcess): Promise<StreamingCall> {
		engine.faults = {holdAfterChunks: 3};
		const stream = sendDraft(host);
		await stream.waitFor('data: ');
		return stream;
	}

	/** Replaces values that differ from run to run, versions included, which depend on the tests that ran before. */
	function normalizeResult({exitCode, stdout, stderr}: RawRun): CliRun {
		const [out, err] = [stdout, stderr].map(text => normalizeRun(text, fleet.dir).replaceAll(/(?<=[Vv]ersion"?:? )\d+/gv, 'N'));
		return {exitCode, stdout: out ?? '', stderr: err ?? ''};
	}

	async function run(command: string | undefined, values?: Placeholders, env?: Readonly<Record<string, string>>): Promise<CliRun> {
		return normalizeResult(await page.run(command, values, env));
	}

	/** Writes an edited form of the document in force to the file that the page names, and returns the version that was edited. */
	async function editConfig(edit: (document: ConfigDocument) => Partial<ConfigDocument>): Promise<number> {
		const {version, document} = await getConfig(fleet.getHost(0));
		await writeFile(path.join(fleet.dir, 'config.yaml'), stringify({...document, ...edit(document)}));
		return version;
	}

	function addService(id: string): (document: ConfigDocument) => Partial<ConfigDocument> {
		return ({services}) => ({services: [...services, {id}]});
	}

	async function getStatus(viewer: DaemonProcess): Promise<FleetStatus> {
		return FleetStatus.parse(await got(`http://${viewer.addresses.admin}/v1/status`, {headers: {authorization: `Bearer ${OPERATOR_KEY}`}}).json());
	}

	/** Returns the row of a host in the output of `status`. */
	async function getHostRow(viewer: DaemonProcess, host: DaemonProcess): Promise<HostRow | undefined> {
		const [status] = page.getCommands('Replacing a dead control host, and losing the quorum');
		const {stdout} = await page.run(status, {}, {EGRETRILL_ADMIN: viewer.addresses.admin});
		return readHosts(stdout).get(host.peer.id);
	}

	/** Waits until the viewer reports a host as live and, if `mustVote` is set, as a voter. */
	async function waitUntilLive(viewer: DaemonProcess, subject: DaemonProcess, mustVote: boolean): Promise<void> {
		await waitFor(`${subject.peer.id} in the status`, async () => {
			const {hosts} = await getStatus(viewer);
			const host = hosts.find(({id}) => id === subject.peer.id);
			return (host?.live === true && (!mustVote || host.votes === true)) || undefined;
		});
	}

	/** Returns the leader, a voter that a test may stop, and the third voter. */
	async function getVoters(): Promise<Readonly<Record<'leader' | 'stopped' | 'other', DaemonProcess>>> {
		return waitFor('a leader and all votes', async () => {
			const {leader: leaderId, hosts} = await getStatus(fleet.getHost(0));
			const voters = fleet.hosts.filter(host => host.peer.voter);
			const leader = voters.find(host => host.peer.id === leaderId);
			const [stopped, other] = voters.filter(host => host !== leader);
			const hasAll = hosts.filter(({votes}) => votes).length === voters.length;
			return hasAll && leader && stopped && other ? {leader, stopped, other} : undefined;
		});
	}

	// Guards against a command that npm did not link: npx would then look for a package of this name in the registry.
	it('names a program that runs in a checkout', async () => {
		expect(await helpLine).to.equal('egretrill COMMAND: operates a fleet of egretrill hosts');
	});

	// Guards against a daemon whose options differ from those on the page, and against a check that accepts an invalid file.
	it('checks the files before the start', async () => {
		const [checkSettings, checkConfig] = page.getCommands('Installing on eight hosts');
		await copyFile(path.join(fleet.dir, 'host-1.yaml'), path.join(fleet.dir, 'settings.yaml'));
		const valid = await Promise.all([run(checkSettings), run(checkConfig)]);
		const start = /`egretrilld (?<args>[^`]+)`/v.exec(page.getSection('Installing on eight hosts'))?.groups?.args?.split(' ') ?? [];
		await writeFile(path.join(fleet.dir, 'settings.yaml'), stringify({host: 'host-1'}));
		const [invalid, started] = await Promise.all([
			run(checkSettings),
			runProcess([daemonFile, ...start], {}, fleet.dir),
		]);
		expect([valid, invalid, started]).toMatchSnapshot();
	});

	// Guards against a document that is applied in part, and against overwriting a change of another operator.
	it('changes the configuration in full or not at all', async () => {
		const [save, apply] = page.getCommands('Changing the configuration');
		const file = path.join(fleet.dir, 'config.yaml');
		const {stdout} = await page.run(save);
		const follows = Number(/^# Version (?<version>\d+)/v.exec(stdout)?.groups?.version);
		const document = parse(await readFile(file, 'utf8')) as ConfigDocument;
		await writeFile(file, stringify({...document, ...addService('archive')(document)}));
		const accepted = await run(apply, {N: follows});
		await writeFile(file, stringify({...document, ...addService('other')(document)}));
		const conflict = await run(apply, {N: follows});
		const newer = await editConfig(({customers}) => ({fleet: 'other', customers: customers.slice(1)}));
		expect([accepted, conflict, await run(apply, {N: newer})]).toMatchSnapshot();
		const {version} = await getConfig(fleet.getHost(0));
		expect([newer, version]).to.deep.equal([follows + 1, follows + 1]);
	});

	// Guards against a review that compares with another version than the one in force, and against one that needs a fleet.
	it('reviews a document before it is sent', async () => {
		const [offline, compared] = page.getCommands('Reviewing a document before it is sent');
		await editConfig(({services, customers: [first, ...others]}) => ({services: [...services, {id: 'unrouted'}], customers: [{...first!, weight: 3}, ...others]}));
		expect([await run(offline), await run(compared, {ADMIN: fleet.getHost(0).addresses.admin})]).toMatchSnapshot();
	});

	// Guards against a repeated command that applies a change twice, or whose request id was not printed.
	it('reports the outcome of a change whose answers were lost', async () => {
		const [, apply, repeat] = page.getCommands('Changing the configuration');
		const follows = await editConfig(addService('lost'));
		const proxy = new LossyProxy(fleet.getHost(0).addresses.admin, SENDS_PER_CHANGE);
		const unconfirmed = await page.run(apply, {N: follows}, {EGRETRILL_ADMIN: await proxy.start()});
		proxy.stop();
		const requestId = /--request-id (?<id>[\w\-]+)/v.exec(unconfirmed.stderr)?.groups?.id ?? '';
		expect([normalizeResult(unconfirmed), await run(repeat, {N: follows, ID: requestId})]).toMatchSnapshot();
		const {version} = await getConfig(fleet.getHost(0));
		expect(version).to.equal(follows + 1);
	});

	// Guards against a new key that does not work as printed, and against a withdrawal that returns while a host may still honour the key.
	it('adds a key and withdraws it while a host cannot be reached', async () => {
		const [create, withdraw] = page.getCommands('Keys');
		const [, apply] = page.getCommands('Changing the configuration');
		const created = await page.run(create, {CUSTOMER: 'yard'});
		const [, secret = '', entry = ''] = /\n(?<secret>[\w\-]{43})\n\n[^\n]+\n(?<entry>.+)/sv.exec(created.stdout) ?? [];
		const {keys: [key]} = parse(entry) as Pick<ConfigDocument, 'keys'>;
		const follows = await editConfig(({keys}) => ({keys: [...keys, key!]}));
		expect([created.exitCode, await run(apply, {N: follows})]).toMatchSnapshot();
		await Promise.all(fleet.hosts.map(async host => waitFor('service for the new key', async () => {
			const {status} = await call(host, secret);
			return status === 200 || undefined;
		})));

		const pausedHost = fleet.getHost(3);
		pausedHost.pause();
		let hasEnded = false;
		const withdrawal = (async () => {
			const result = await page.run(withdraw, {ID: key!.id});
			hasEnded = true;
			return result;
		})();
		const pendingHosts = await waitFor('the answers of the other hosts', async () => {
			const {body} = await getWithdrawal(fleet.getHost(0), key!.id);
			return String(body.waitingFor) === 'host-4' ? body.waitingFor : undefined;
		});
		const endedEarly = hasEnded;
		pausedHost.resume();
		const withdrawn = await withdrawal;
		const answers = await Promise.all(fleet.hosts.map(async host => call(host, secret)));
		expect([pendingHosts, endedEarly, withdrawn.exitCode, normalizeResult(withdrawn).stdout.replace(key!.id, 'KEY'), answers]).toMatchSnapshot();
		await waitForService(pausedHost);
	});

	// Guards against new work in a zone after the time limit, interrupted work, and a fleet without a zone in service.
	it('takes a zone out of service and returns it', async () => {
		const [takeOut, returnZone] = page.getCommands('Zone maintenance');
		const stream = await startDraft(fleet.getHost(0));
		const takenOut = await run(takeOut, {ZONE: 'zone-b'});
		const leaveDeadlineMs = performance.now() + ZONE_LEAVE_BOUND_MS;
		await setZoneState(fleet.getHost(0), 'zone-c', 'taken-out');
		const lastZoneRefusal = await run(takeOut, {ZONE: 'zone-a'});
		await setZoneState(fleet.getHost(0), 'zone-c', 'in-service');
		await waitFor('the time limit for new work', () => performance.now() > leaveDeadlineMs || undefined);
		const runsAfterLimit = registries[1]!.runs.length;
		for (const host of [...fleet.hosts, ...fleet.hosts]) {
			const {status} = await call(host);
			expect(status).to.equal(200);
		}

		expect(registries[1]!.runs.length).to.equal(runsAfterLimit);
		engine.faults = {};
		const {body} = await stream.ended;
		expect(body).to.match(/data: \[DONE\]\n\n$/v);
		expect([takenOut, lastZoneRefusal, await run(returnZone, {ZONE: 'zone-b'})]).toMatchSnapshot();
		await waitFor('work in the returned zone', async () => {
			await Promise.all(Array.from({length: 20}, async () => call(fleet.getHost(1))));
			return registries[1]!.runs.length > runsAfterLimit || undefined;
		});
	});

	// Guards against a drain that interrupts running work, and against an exit code that hides interrupted work.
	it('drains a host', async () => {
		const drain = page.getCommands('Zone maintenance')[2];
		const host = fleet.getHost(3);
		const stream = await startDraft(host);
		const drainResult = await run(drain, {HOST: 'host-4'});
		await waitFor('the end of readiness', async () => await host.isReady() ? undefined : true);
		const refused = await waitFor('the refusal of new requests', async () => {
			const answer = await call(host);
			return answer.status === 200 ? undefined : answer;
		});
		engine.faults = {};
		const {body} = await stream.ended;
		expect([drainResult, refused, body.endsWith('data: [DONE]\n\n'), await host.waitForExit()]).toMatchSnapshot();

		await host.start();
		await waitForService(host);
		const interruptedDraft = await startDraft(host);
		const ended = host.terminate();
		await waitFor('the end of readiness', async () => await host.isReady() ? undefined : true);
		await host.terminate();
		await interruptedDraft.ended;
		engine.faults = {};
		const report = JSON.parse(host.errors.at(-1) ?? '{}') as Record<string, unknown>;
		expect([await ended, {...report, tookMs: 'TIME'}]).toMatchSnapshot();
	});

	it('shows targets and explains a placement', async () => {
		const [targets, explain] = page.getCommands('Refusals that callers see');
		const [list, explained] = await Promise.all([run(targets), run(explain, {MODEL: 'inscription'})]);
		// Loads, the cold start after the return of the zone and the decisions of the zone owner depend on timing.
		const rows = list.stdout.split('\n').map(line => line.replace(/(?:cold|serving) {2}\d+ {2}\d+/v, 'STATE')).toSorted();
		expect([list.exitCode, rows, explained.exitCode, explained.stdout.replace(/(?<=demand )[^\n]+/v, 'DEMAND').split('\n\n').slice(0, 2)]).toMatchSnapshot();
	});

	// Guards against evidence that cannot be verified at the path that the page names.
	it('verifies the evidence of a host', async () => {
		const [verify] = page.getCommands('The monitor');
		const dataDir = path.join(fleet.dir, 'host-1');
		const copy = path.join(fleet.dir, 'copy');
		await execute('cp', ['-r', dataDir, copy]);
		const file = path.join(copy, 'evidence', 'evidence.jsonl');
		const text = await readFile(file, 'utf8');
		await writeFile(file, text.replace('"author":"ana"', '"author":"eva"'));
		const [intact, broken] = await Promise.all([run(verify, {DATA_DIR: dataDir}), run(verify, {DATA_DIR: copy})]);
		expect([intact.exitCode, intact.stdout, broken.exitCode, broken.stderr].map(shown => String(shown).replaceAll(/\d+ records/gv, 'N records').replaceAll(/:\d+:/gv, ':LINE:'))).toMatchSnapshot();
	});

	// Guards against an operator who stops a second voter because the status shows the replaced one as live before it is a voter again.
	it('replaces a voter that lost its disk', async () => {
		voters = await getVoters();
		const {leader, stopped, other} = voters;
		await stopped.kill();
		await rm(path.join(fleet.dir, stopped.peer.id), {recursive: true});
		// Without log entries from the leader the replaced voter answers but cannot catch up.
		fleet.getLink(leader.peer, stopped.peer).cut('forward', 'backward');
		await stopped.start();
		await waitUntilLive(other, stopped, false);
		const learning = await getHostRow(other, stopped);
		await fleet.heal();
		await waitUntilLive(other, stopped, true);
		const voting = await getHostRow(other, stopped);
		expect([learning, voting].map(row => [row?.LIVE, row?.VOTES])).to.deep.equal([['yes', 'no'], ['yes', 'yes']]);

		const [, apply] = page.getCommands('Changing the configuration');
		const follows = await editConfig(addService('replaced'));
		await other.kill();
		const changed = await run(apply, {N: follows}, {EGRETRILL_ADMIN: leader.addresses.admin});
		expect(changed).toMatchSnapshot();
	});

	// Guards against a host that votes with a damaged log, and against one that deletes the damaged log, which an operator needs to inspect.
	it('lets a voter with a damaged log rejoin', async () => {
		// The previous test stopped this voter.
		const {leader, other: stopped} = voters!;
		const folder = path.join(fleet.dir, stopped.peer.id, 'log');
		const log = await readFile(path.join(folder, 'log'));
		const damaged = Uint8Array.from(log, (byte, at) => at === Math.floor(log.length / 2) ? 255 - byte : byte);
		await writeFile(path.join(folder, 'log'), damaged);
		const linesBefore = stopped.log.length;
		await stopped.start();
		await waitUntilLive(leader, stopped, true);
		const line = stopped.log.slice(linesBefore).find(({msg}) => msg.includes('damaged'));
		const {message} = line?.err as {message: string};
		expect([line?.msg, message.replace(/\d+/v, 'OFFSET')]).toMatchSnapshot();
		const suffix = /`\*(?<suffix>\.\w+)`/v.exec(page.getSection('Replacing a dead control host, and losing the quorum'))?.groups?.suffix ?? '';
		const files = await readdir(folder);
		expect(files.filter(name => suffix !== '' && name.endsWith(suffix))).to.include(`log${suffix}`);
		expect(Uint8Array.from(await readFile(path.join(folder, `log${suffix}`)))).to.deep.equal(damaged);
	});

	// Guards against a command that is added to the page without a test.
	it('names only commands that these tests have run', () => {
		expect(page.getCommandsNotRun()).to.deep.equal([]);
	});
});
