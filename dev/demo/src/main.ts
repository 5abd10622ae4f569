import process from 'node:process';
import {StandInEngine, StandInService} from '@egretrill/stand-ins';
import {
	createLocalConfig, type DaemonProcess, Fleet, getLocalKey, waitFor,
} from '@egretrill/testkit';
import got from 'got';

const zones = ['zone-a', 'zone-b', 'zone-c'];
const resident = [{model: 'inscription', version: 'v1', adapters: ['plaque']}];

async function startTargets(fleet: Fleet): Promise<ReadonlyArray<StandInEngine | StandInService>> {
	return Promise.all(zones.flatMap(zone => {
		const hosts = [...fleet.getTargetAddresses(zone)];
		return [
			new StandInEngine({
				targetId: `engine-${zone}`, zone, hosts, resident,
			}).start(),
			new StandInService({
				targetId: `registry-${zone}`, zone, service: 'registry', hosts,
			}).start(),
		];
	}));
}

async function streamAnswer(host: DaemonProcess): Promise<void> {
	const stream = got.stream.post(`http://${host.addresses.callers}/v1/chat/completions`, {
		headers: {authorization: `Bearer ${getLocalKey('yard')}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: 'inscription', stream: true, max_tokens: 13, messages: [{role: 'user', content: 'Draft the plaque for the flood of 1963.'}],
		}),
	});
	for await (const bytes of stream) {
		process.stdout.write(bytes as Uint8Array);
	}
}

async function isServed(host: DaemonProcess): Promise<boolean> {
	const res = await got(`http://${host.addresses.callers}/public/ready`, {throwHttpErrors: false, retry: {limit: 0}});
	return res.statusCode === 200;
}

function printDecisions(fleet: Fleet): void {
	for (const host of fleet.hosts) {
		for (const line of host.log.filter(entry => entry.msg === 'Target chosen.')) {
			console.log(`${host.peer.id}: ${line.msg} target=${String(line.targetId)} reason=${String(line.reason)}`);
		}
	}
}

console.log('Starting six hosts in three zones.');
const fleet = await Fleet.start({fleet: 'local', zones: [...zones, ...zones], config: createLocalConfig(zones)});
const targets = await startTargets(fleet);
const entry = fleet.getHost(4);
await waitFor('the first target', async () => await isServed(entry) || undefined);
console.log(`A caller streams an answer through ${entry.peer.id}:\n`);
await streamAnswer(entry);
console.log('Decisions:');
printDecisions(fleet);
const exitCodes = await Promise.all(fleet.hosts.map(async host => host.terminate()));
await Promise.all(targets.map(async target => target.stop()));
await fleet.stop();
console.log(`All hosts stopped with exit codes ${exitCodes.join(', ')}.`);
