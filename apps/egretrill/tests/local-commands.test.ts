import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {EvidenceLog, FileEvidenceStorage} from '@egretrill/monitor';
import {createLocalConfig, findPorts} from '@egretrill/testkit';
import {expect} from 'chai';
import {stringify} from 'yaml';
import {type CliRun, runCli, startAndTerminateAfter} from './support/run-cli.js';

describe('egretrill without a fleet', () => {
	let dir: string;

	before(async () => {
		dir = await mkdtemp(path.join(tmpdir(), 'egretrill-cli-'));
	});

	after(async () => {
		await rm(dir, {recursive: true, force: true});
	});

	async function run(line: string, env?: Readonly<Record<string, string>>): Promise<CliRun> {
		return runCli(line.split(' '), env, dir);
	}

	async function write(file: string, document: unknown): Promise<void> {
		await writeFile(path.join(dir, file), stringify(document));
	}

	it('describes every command with examples and exit codes', async () => {
		const lines = ['--help', 'apply --help', 'keys --help', 'keys withdraw --help', 'bench --help'];
		expect(await Promise.all(lines.map(async line => run(line)))).toMatchSnapshot();
	});

	it('refuses wrong usage with exit code 2', async () => {
		const lines = ['nonsense', 'keys', 'status --frob', 'apply a.yaml', 'apply missing.yaml --follows 1', 'apply a.yaml --follows x', 'keys new a/b', 'config', 'config --admin ftp://nowhere --key-file missing'];
		expect(Object.fromEntries(await Promise.all(lines.map(async line => [line, await run(line)])))).toMatchSnapshot();
	});

	it('lists each fault of a file with its line number', async () => {
		const document = createLocalConfig(['zone-a']);
		const [key] = document.keys;
		await write('valid.yaml', document);
		await write('schema.yaml', {
			...document, zones: [], surprise: 1, customers: [{id: 'yard', rate: {tokensPerSecond: -1}}],
		});
		await write('cross.yaml', {...document, keys: [{...key, customer: 'nobody'}, key], placements: {pins: [{model: 'nothing', target: 'engine-1'}], forbids: []}});
		await write('settings.yaml', {host: 'host-1', fleet: 'local', logLevel: 'loud'});
		await writeFile(path.join(dir, 'broken.yaml'), 'version: [1\n');
		const lines = ['check valid.yaml', 'check schema.yaml', 'check cross.yaml', 'check cross.yaml --json', 'check settings.yaml --kind settings', 'check broken.yaml', 'check missing.yaml'];
		expect(Object.fromEntries(await Promise.all(lines.map(async line => [line, await run(line)])))).toMatchSnapshot();
	});

	// Guards against scripts that send a document with errors, or that stop at a warning without --strict.
	it('reviews a document offline', async () => {
		const document = createLocalConfig(['zone-a']);
		const [key] = document.keys;
		await write('clean.yaml', document);
		await write('unused.yaml', {...document, keys: [key]});
		await write('wrong.yaml', {...document, keys: [key, key], services: []});
		await write('schema.yaml', {...document, zones: [], surprise: 1});
		const lines = ['review clean.yaml', 'review unused.yaml', 'review unused.yaml --strict', 'review wrong.yaml', 'review schema.yaml --json', 'review missing.yaml'];
		// A host that is named only in the environment is not asked.
		const env = {EGRETRILL_ADMIN: '127.0.0.1:1', EGRETRILL_OPERATOR_KEY: 'any'};
		expect(Object.fromEntries(await Promise.all(lines.map(async line => [line, await run(line, env)])))).toMatchSnapshot();
	});

	it('starts no host from invalid settings', async () => {
		await write('settings.yaml', {host: 'host-1'});
		expect(await run('start --settings settings.yaml')).toMatchSnapshot();
	});

	it('runs a host until a signal and reports how it ended', async () => {
		const anyPort = '127.0.0.1:0';
		const [port] = await findPorts(1);
		const address = `127.0.0.1:${port}`;
		const digest = 'a'.repeat(64);
		await write('initial.yaml', createLocalConfig(['zone-a']));
		await write('host.yaml', {
			host: 'host-1', fleet: 'local', region: 'local', zone: 'zone-a', dataDir: path.join(dir, 'data'), plaintextLoopback: true, adminKeyDigest: digest, monitorKeyDigest: digest,
			listen: {
				callers: anyPort, targets: anyPort, peers: address, admin: anyPort, monitor: anyPort, health: anyPort,
			},
			peers: [{
				id: 'host-1', zone: 'zone-a', region: 'local', address, voter: true,
			}],
		});
		const {exitCode, stdout, stderr} = await startAndTerminateAfter('Daemon started.', ['start', '--settings', 'host.yaml', '--initial-config', 'initial.yaml'], dir);
		expect({exitCode, stderr, report: stdout.trimEnd().split('\n').at(-1)}).toMatchSnapshot();
	});

	it('prints a new secret once, with a document entry that contains only its digest', async () => {
		expect([await run('keys new yard --id yard-2'), await run('keys new yard --id yard-2 --json')]).toMatchSnapshot();
	});

	it('names the first broken link of tampered evidence', async () => {
		const file = path.join(dir, 'evidence.log');
		const log = await EvidenceLog.open({storage: await FileEvidenceStorage.open(file), getWallTime: () => '2026-01-01T00:00:00.000Z'});
		for (const zone of ['zone-a', 'zone-b', 'zone-c']) {
			await log.append({
				kind: 'zone-changed', zone, state: 'taken-out', version: 2, author: 'ana',
			});
		}

		await log.close();
		const text = await readFile(file, 'utf8');
		const lines = text.trimEnd().split('\n');
		await writeFile(path.join(dir, 'changed.log'), text.replace('zone-b', 'zone-x'));
		await writeFile(path.join(dir, 'dropped.log'), `${lines[0]}\n${lines[2]}\n`);
		await writeFile(path.join(dir, 'cut.log'), `${lines[0]}\n`);
		await writeFile(path.join(dir, 'cut.log.head'), await readFile(`${file}.head`));
		const files = ['evidence.log', 'changed.log', 'dropped.log', 'cut.log', 'missing.log'];
		expect(Object.fromEntries(await Promise.all(files.map(async name => [name, await run(`audit verify ${name}`)])))).toMatchSnapshot();
	});

	it('says that nothing was changed when no host can be reached', async () => {
		await write('valid.yaml', createLocalConfig(['zone-a']));
		const [port] = await findPorts(1);
		const env = {EGRETRILL_ADMIN: `127.0.0.1:${port}`, EGRETRILL_OPERATOR_KEY: 'any'};
		expect([await run('status', env), await run('apply valid.yaml --follows 1', env), await run('drain host-1 --json', env)]).toMatchSnapshot();
		const {exitCode} = await run(`review valid.yaml --admin ${env.EGRETRILL_ADMIN}`, env);
		expect(exitCode).to.equal(2);
	});

	it('loads only loopback addresses', async () => {
		const urls = ['http://192.0.2.1:80', 'http://localhost:80', 'https://127.0.0.1:80', 'http://127.0.0.1.example:80', 'nowhere'];
		expect(Object.fromEntries(await Promise.all(urls.map(async url => [url, await run(`bench --url ${url} --key-env KEY --model m`, {KEY: 'any'})])))).toMatchSnapshot();
	});
});
