import {webcrypto} from 'node:crypto';
import {once} from 'node:events';
import {
	mkdir, readFile, rename, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {connect} from 'node:tls';
import type {Settings} from '@egretrill/common';
import {StandInService} from '@egretrill/stand-ins';
import {
	createLocalConfig, type DaemonProcess, recordExchange, Fleet, getLocalKey, waitFor,
} from '@egretrill/testkit';
import * as x509 from '@peculiar/x509';
import {expect} from 'chai';

const algorithm = {name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256'};
const zones = ['zone-a', 'zone-b', 'zone-c'];
/** Calls that each host answers after the last host has its new certificate. */
const CALLS_AFTER_RENEWAL = 20;
const validity = {notBefore: new Date(Date.now() - 3_600_000), notAfter: new Date(Date.now() + 86_400_000)};

async function exportKey(keys: webcrypto.CryptoKeyPair): Promise<string> {
	return x509.PemConverter.encode(await webcrypto.subtle.exportKey('pkcs8', keys.privateKey), 'PRIVATE KEY');
}

/** A certificate authority for one test. */
class Authority {
	static async create(): Promise<Authority> {
		const keys = await webcrypto.subtle.generateKey(algorithm, true, ['sign', 'verify']);
		const cert = await x509.X509CertificateGenerator.createSelfSigned({
			name: 'CN=test authority', keys, signingAlgorithm: algorithm, extensions: [new x509.BasicConstraintsExtension(true, undefined, true)], ...validity,
		});
		return new Authority(keys, cert);
	}

	private constructor(private readonly keys: webcrypto.CryptoKeyPair, private readonly cert: x509.X509Certificate) {}

	/** Writes the files of one host; each file is replaced atomically. */
	async write(tls: NonNullable<Settings['tls']>, uri: string, serialNumber = '01'): Promise<void> {
		const keys = await webcrypto.subtle.generateKey(algorithm, true, ['sign', 'verify']);
		const cert = await x509.X509CertificateGenerator.create({
			subject: 'CN=host',
			issuer: this.cert.subject,
			serialNumber,
			publicKey: keys.publicKey,
			signingKey: this.keys.privateKey,
			signingAlgorithm: algorithm,
			extensions: [new x509.SubjectAlternativeNameExtension([{type: 'url', value: uri}])],
			...validity,
		});
		for (const [file, text] of [[tls.ca, this.cert.toString('pem')], [tls.key, await exportKey(keys)], [tls.cert, cert.toString('pem')]] as const) {
			await mkdir(path.dirname(file), {recursive: true});
			await writeFile(`${file}.new`, text);
			await rename(`${file}.new`, file);
		}
	}
}

function getFiles(dir: string, hostId: string): NonNullable<Settings['tls']> {
	const [ca, cert, key] = ['ca', 'cert', 'key'].map(name => path.join(dir, hostId, `${name}.pem`)) as [string, string, string];
	return {ca, cert, key};
}

function getRefusals(host: DaemonProcess, from = 0): ReadonlyArray<Record<string, unknown>> {
	return host.log.slice(from).filter(line => line.msg === 'Refused a peer of another fleet.');
}

/** Serial number of the certificate that a host presents. */
async function getSerialNumber({peer}: DaemonProcess): Promise<string> {
	const separator = peer.address.lastIndexOf(':');
	// Only the certificate is read, so its name and authority are not verified here.
	const socket = connect({host: peer.address.slice(0, separator), port: Number(peer.address.slice(separator + 1)), rejectUnauthorized: false});
	try {
		await once(socket, 'secureConnect');
		return socket.getPeerCertificate().serialNumber;
	} finally {
		socket.on('error', () => undefined).destroy();
	}
}

describe('mutual TLS between hosts', () => {
	let fleet: Fleet;
	let authority: Authority;

	before(async () => {
		authority = await Authority.create();
		fleet = await Fleet.start({
			fleet: 'local',
			zones,
			config: createLocalConfig(zones),
			hasLinks: true,
			async prepare(host, dir) {
				const tls = getFiles(dir, host.id);
				await authority.write(tls, `egretrill://local/${host.id}`);
				return {tls, plaintextLoopback: false};
			},
		});
	});

	after(async () => {
		await fleet.stop();
	});

	async function restart(host: DaemonProcess): Promise<void> {
		await host.kill();
		await host.start();
	}

	/** Breaks all connections between hosts once, so that each host repeats its TLS handshakes; repeated breaks could interrupt the handshakes themselves. */
	async function reconnect(): Promise<void> {
		const links = fleet.hosts.flatMap(from => fleet.hosts.filter(to => to !== from).map(to => fleet.getLink(from.peer, to.peer)));
		await Promise.all(links.map(async link => link.refuse()));
		await fleet.heal();
	}

	/** Waits until a host presents the certificate with the given serial number. */
	async function waitForCertificate(host: DaemonProcess, serialNumber: string): Promise<void> {
		await waitFor(`certificate ${serialNumber} at ${host.peer.id}`, async () => await getSerialNumber(host) === serialNumber || undefined);
	}

	// Guards against hosts that load their certificate files but fail the TLS handshake.
	it('accepts hosts of the same fleet and authority', async () => {
		expect(await Promise.all(fleet.hosts.map(async host => host.isReady()))).to.deep.equal([true, true, true]);
		expect(fleet.hosts.flatMap(host => getRefusals(host))).to.deep.equal([]);
	});

	// Guards against a host that accepts certificates of any authority.
	it('refuses a host whose certificate was issued by another authority', async () => {
		const [verifier, rejected] = [fleet.getHost(0), fleet.getHost(2)];
		const other = await Authority.create();
		const files = getFiles(fleet.dir, rejected.peer.id);
		await other.write(files, `egretrill://local/${rejected.peer.id}`);
		const from = verifier.log.length;
		await restart(rejected);
		const line = await waitFor('the refusal', () => verifier.log.slice(from)
			.find(({msg, peer, reason}) => msg === 'A host does not answer.' && peer === rejected.peer.id && /certificate|signature/v.test(String(reason))));
		expect(line.reason).to.match(/certificate|signature/v);
		expect(await rejected.isReady()).to.equal(false);
		await authority.write(files, `egretrill://local/${rejected.peer.id}`);
		await restart(rejected);
		await rejected.waitUntilReady();
	});

	// Guards against accepting a host of another fleet with the same authority, and against a host that starts with a certificate for another name.
	it('refuses a host whose certificate names another fleet', async () => {
		const [verifier, rejected] = [fleet.getHost(0), fleet.getHost(2)];
		const files = getFiles(fleet.dir, rejected.peer.id);
		await authority.write(files, `egretrill://other/${rejected.peer.id}`);
		await rejected.kill();
		let refusal = '';
		try {
			await rejected.start();
		} catch (err: unknown) {
			refusal = String(err);
		}

		expect(refusal).to.include('does not carry the name egretrill://local/host-3');
		// The daemon starts with a valid certificate and receives the one of the other fleet while it runs, so that the other hosts must refuse it.
		await authority.write(files, `egretrill://local/${rejected.peer.id}`);
		await rejected.start();
		await rejected.waitUntilReady();
		const from = verifier.log.length;
		await authority.write(files, `egretrill://other/${rejected.peer.id}`, '02');
		await waitForCertificate(rejected, '02');
		await reconnect();
		// Both the server and the client of a connection verify the name.
		await waitFor('the refusal', () => getRefusals(verifier, from).some(line => line.names === 'URI:egretrill://other/host-3')
			&& verifier.log.slice(from).some(line => String(line.reason).includes('does not carry the name egretrill://local/host-3')));
		await authority.write(files, `egretrill://local/${rejected.peer.id}`);
		await restart(rejected);
		await rejected.waitUntilReady();
	});

	// Guards against a renewal that interrupts calls in flight, and against renewed files that take effect only in new processes.
	it('renews the certificates of all hosts while calls run, and no call fails', async () => {
		const zoneOptions = {zone: 'zone-a', hosts: [...fleet.getTargetAddresses('zone-a')]};
		const targets = await Promise.all(['registry', 'ordering'].map(async service => new StandInService({...zoneOptions, targetId: `${service}-1`, service}).start()));
		const send = async (host: DaemonProcess, path: string, id: string) => recordExchange(`http://${host.addresses.callers}${path}`, {
			headers: {authorization: `Bearer ${getLocalKey('yard')}`, 'idempotency-key': id}, body: id,
		});
		const sendBoth = async (host: DaemonProcess, id: string): Promise<ReadonlyArray<{readonly status: number; readonly body: string}>> => Promise.all([
			send(host, '/registry/mark', id), send(host, '/orders', `${host.peer.id}-${id}`),
		]);
		const waitUntilServed = async (host: DaemonProcess, id: string) => waitFor(`service at ${host.peer.id}`, async () => {
			const answers = await sendBoth(host, `${id}-${performance.now()}`);
			return answers.every(({status}) => status === 200) || undefined;
		});
		await Promise.all(fleet.hosts.map(async host => waitUntilServed(host, 'before')));
		let isRenewed = false;
		const calls = Promise.all(fleet.hosts.map(async host => {
			const answers = [];
			for (let after = 0; after < CALLS_AFTER_RENEWAL; after += isRenewed ? 1 : 0) {
				answers.push(...await sendBoth(host, `during-${answers.length}`));
			}

			return answers;
		}));
		await Promise.all(fleet.hosts.map(async ({peer}) => authority.write(getFiles(fleet.dir, peer.id), `egretrill://local/${peer.id}`, '04')));
		await Promise.all(fleet.hosts.map(async host => waitForCertificate(host, '04')));
		isRenewed = true;
		const answers = await calls;
		expect(answers.flat().filter(({status}) => status !== 200)).to.deep.equal([]);
		expect(new Set(targets[1]!.runs).size).to.equal(targets[1]!.runs.length);
		await reconnect();
		await Promise.all(fleet.hosts.map(async host => waitUntilServed(host, 'after')));
		await Promise.all(targets.map(async target => target.stop()));
	});

	// Guards against hosts that are unreachable between the replacement of the key and that of the certificate.
	it('presents the previous certificate while only the key has been replaced', async () => {
		const [host] = fleet.hosts;
		const {key} = getFiles(fleet.dir, host!.peer.id);
		const earlier = await readFile(key);
		const earlierSerial = await getSerialNumber(host!);
		await writeFile(key, await exportKey(await webcrypto.subtle.generateKey(algorithm, true, ['sign', 'verify'])));
		// The files are re-read once a second.
		await delay(2500);
		expect(await getSerialNumber(host!)).to.equal(earlierSerial);
		await writeFile(key, earlier);
	});

	// Guards against a rotation that needs a restart of every host.
	it('reloads certificate files without a restart', async () => {
		authority = await Authority.create();
		await Promise.all(fleet.hosts.map(async ({peer}) => authority.write(getFiles(fleet.dir, peer.id), `egretrill://local/${peer.id}`, '03')));
		const running = [fleet.getHost(0), fleet.getHost(1)];
		const restarted = fleet.getHost(2);
		// A host that starts now trusts the new authority only, and is ready with one of the others; each of them must follow.
		await restart(restarted);
		await restarted.waitUntilReady();
		await Promise.all(running.map(async host => waitForCertificate(host, '03')));
		await Promise.all(running.map(async host => host.waitUntilReady()));
	});

	// Guards against unprotected connections over a network.
	it('refuses plaintext outside loopback and plaintext that the settings do not enable', async () => {
		const attempts = [
			{plaintextLoopback: false},
			{
				plaintextLoopback: true, peers: [{
					id: 'host-1', zone: 'zone-a', region: 'local', address: '192.0.2.1:7000', voter: true,
				}],
			},
		];
		for (const settings of attempts) {
			let refusal = '';
			try {
				const started = await Fleet.start({
					fleet: 'local', zones: ['zone-a'], config: createLocalConfig(zones), settings,
				});
				await started.stop();
			} catch (err: unknown) {
				refusal = String(err);
			}

			expect(refusal).to.include('all peer addresses must be on loopback');
		}
	});
});
