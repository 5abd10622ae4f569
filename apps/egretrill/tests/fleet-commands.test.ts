import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {ConfigInForce} from '@egretrill/operators';
import {StandInEngine} from '@egretrill/stand-ins';
import {
	createLocalConfig, Fleet, getLocalKey, OPERATOR_KEY, waitFor,
} from '@egretrill/testkit';
import {expect} from 'chai';
import got from 'got';
import {parse, stringify} from 'yaml';
import {LossyProxy} from './support/lossy-proxy.js';
import {type CliRun, runCli} from './support/run-cli.js';

const local = createLocalConfig(['zone-a', 'zone-b']);
const config = {...local, customers: local.customers.map(customer => ({...customer, keyLeaseMs: 1000}))};

describe('egretrill against a fleet of two hosts', () => {
	let fleet: Fleet;
	let engine: StandInEngine;
	let admin: string;

	before(async () => {
		fleet = await Fleet.start({fleet: 'local', zones: ['zone-a', 'zone-b'], config});
		admin = fleet.getHost(0).addresses.admin;
		engine = await new StandInEngine({
			targetId: 'engine-1', zone: 'zone-a', hosts: [...fleet.getTargetAddresses('zone-a')], resident: [{model: 'inscription', version: 'v1', adapters: ['plaque']}],
		}).start();
		await waitFor('complete answers of the engine', async () => {
			const {stdout} = await run(getBenchCommand('--stream'), 0, {KEY: getLocalKey('yard')});
			return stdout.includes('200 whole stream  6') || undefined;
		});
	});

	after(async () => {
		await engine.stop();
		await fleet.stop();
	});

	function getBenchCommand(option: string): string {
		return `bench --url http://${fleet.getHost(0).addresses.callers} --key-env KEY --model inscription --requests 6 --concurrency 2 ${option}`;
	}

	async function getInForce(): Promise<ConfigInForce> {
		return ConfigInForce.parse(await got(`http://${admin}/v1/config`, {headers: {authorization: `Bearer ${OPERATOR_KEY}`}}).json());
	}

	/** Runs a command; versions are shown relative to the one in force before the test, so that each test can run alone. */
	async function run(line: string, base: number, env: Readonly<Record<string, string>> = {}): Promise<CliRun> {
		const {stdout, stderr, exitCode} = await runCli(line.split(' '), {
			EGRETRILL_ADMIN: admin, EGRETRILL_OPERATOR_KEY: OPERATOR_KEY, EGRETRILL_OPERATOR: 'ana', ...env,
		}, fleet.dir);
		const replace = (text: string): string => text.replaceAll(/(?<=[Vv]ersion"?:? )\d+/gv, found => `BASE+${Number(found) - base}`);
		return {exitCode, stdout: replace(stdout), stderr: replace(stderr)};
	}

	async function writeDocument(file: string, change: Readonly<Record<string, unknown>>): Promise<number> {
		const {version, document} = await getInForce();
		await writeFile(path.join(fleet.dir, file), stringify({...document, ...change}));
		return version;
	}

	it('prints the document in force so that it can be applied again', async () => {
		const {version, document} = await getInForce();
		const {stdout} = await runCli(['config'], {EGRETRILL_ADMIN: admin, EGRETRILL_OPERATOR_KEY: OPERATOR_KEY});
		expect({...parse(stdout), keys: []}).to.deep.equal({...document, keys: []});
		expect(await run('keys list', version)).toMatchSnapshot();
	});

	it('shows zones, hosts and targets', async () => {
		const {version} = await getInForce();
		const stdout = await waitFor('an idle, warm target and the reports of both hosts', async () => {
			const status = await run('status', version);
			return /serving {2}0 {2}0/v.test(status.stdout) && !status.stdout.includes('unknown') ? status.stdout : undefined;
		});
		// Either host may be the leader.
		expect(stdout.match(/ leader$/gmv)).to.have.lengthOf(1);
		expect(stdout.replace(/ +leader$/mv, '').replaceAll(/(?<=yes {2}yes {2}yes {2})\d+/gv, found => `BASE+${Number(found) - version}`)).toMatchSnapshot();
		expect([await run('zones list', version), await run('targets', version), await run('placement explain nothing', version)]).toMatchSnapshot();
	});

	it('refuses a wrong credential', async () => {
		const {version} = await getInForce();
		expect([await run('status', version, {EGRETRILL_OPERATOR_KEY: 'wrong'}), await run('zones take-out zone-b', version, {EGRETRILL_OPERATOR_KEY: 'wrong'})]).toMatchSnapshot();
	});

	it('reports the version in force to the operator whose change conflicts', async () => {
		const version = await writeDocument('first.yaml', {services: [...config.services, {id: 'first'}]});
		await writeDocument('second.yaml', {services: [...config.services, {id: 'second'}]});
		expect([
			await run(`apply first.yaml --follows ${version} --operator ana`, version),
			await run(`apply second.yaml --follows ${version} --operator ben --request-id ben-1`, version),
			await run(`apply second.yaml --follows ${version} --operator ben --request-id ben-2 --json`, version),
		]).toMatchSnapshot();
	});

	it('lists each fault that the fleet finds, with its line number', async () => {
		const version = await writeDocument('invalid.yaml', {fleet: 'other', keys: [{...config.keys[0], customer: 'nobody'}]});
		expect(await run(`apply invalid.yaml --follows ${version}`, version)).toMatchSnapshot();
		const after = await getInForce();
		expect(after.version).to.equal(version);
	});

	it('applies a change once when its answer is lost', async () => {
		const version = await writeDocument('lost.yaml', {services: [...config.services, {id: 'lost'}]});
		const proxy = new LossyProxy(admin, 1);
		const proxyAddress = await proxy.start();
		const result = await run(`apply lost.yaml --follows ${version}`, version, {EGRETRILL_ADMIN: proxyAddress});
		proxy.stop();
		expect(result).toMatchSnapshot();
		expect(new Set(proxy.bodies).size).to.equal(1);
		const after = await getInForce();
		expect(after.version).to.equal(version + 1);
	});

	// Guards against an answer that attributes a change to the operator who repeats it.
	it('reports the original author when another operator repeats a change', async () => {
		const version = await writeDocument('repeated.yaml', {services: [...config.services, {id: 'repeated'}]});
		expect([
			await run(`apply repeated.yaml --follows ${version} --operator ana --request-id repeated-1`, version),
			await run(`apply repeated.yaml --follows ${version} --operator ben --request-id repeated-1`, version),
			await run(`apply repeated.yaml --follows ${version} --operator eva --request-id repeated-2`, version),
			await run('zones take-out zone-b --operator ana --request-id repeated-3', version),
			await run('zones take-out zone-b --operator ben --request-id repeated-3', version),
			await run('zones return zone-b --operator ana --request-id repeated-3', version),
			await run('zones return zone-b --operator ana', version),
		]).toMatchSnapshot();
	});

	it('reports an unknown outcome when every answer is lost, and the definite one on a repeat', async () => {
		const {version} = await getInForce();
		const proxy = new LossyProxy(admin, 5);
		const proxyAddress = await proxy.start();
		const unconfirmed = await run('zones take-out zone-b --request-id repeat-1', version, {EGRETRILL_ADMIN: proxyAddress});
		proxy.stop();
		expect([unconfirmed, await run('zones take-out zone-b --request-id repeat-1', version)]).toMatchSnapshot();
		expect([await run('zones take-out zone-a', version), await run('zones return zone-b', version), await run('zones return nowhere', version)]).toMatchSnapshot();
	});

	it('waits until a withdrawn key is in force everywhere', async () => {
		const {version} = await getInForce();
		const {stdout, stderr, exitCode} = await run('keys withdraw port-1 --wait', version);
		// Which hosts have confirmed depends on timing; both may have before the first answer.
		expect({exitCode, stdout, hasRequestId: stderr.startsWith('Request id: UUID\n')}).toMatchSnapshot();
		expect(stderr).to.match(/^Request id: UUID\n(?:Pending: key port-1 is withdrawn in version BASE\+1; waiting for [\w ,\-]+\.\n)?$/v);
		expect(await run('keys withdraw nothing', version)).toMatchSnapshot();
	});

	it('reports times and verdicts of a bounded load', async () => {
		expect([
			await run(getBenchCommand('--stream'), 0, {KEY: getLocalKey('yard')}), await run(getBenchCommand('--json'), 0, {KEY: 'wrong'}),
		]).toMatchSnapshot();
	});

	it('drains a host', async () => {
		const {version} = await getInForce();
		expect([await run('drain host-2', version), await run('drain nowhere', version)]).toMatchSnapshot();
		await waitFor('the end of the host', () => fleet.getHost(1).errors.some(line => line.includes('complete')) || undefined);
	});
});
