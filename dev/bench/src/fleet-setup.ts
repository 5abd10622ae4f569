import {createRequire} from 'node:module';
import path from 'node:path';
import {type EngineOptions, StandInEngine} from '@egretrill/stand-ins';
import {createLocalConfig, Fleet} from '@egretrill/testkit';

export const BENCH_ZONES = ['zone-a', 'zone-b', 'zone-c'];
export const benchResidentModels = [{model: 'inscription', version: 'v1', adapters: ['plaque']}];

/** The daemon's bundle as operators deploy it, built by `npm run build`. */
const bundle = path.join(path.dirname(createRequire(import.meta.url).resolve('@egretrill/testkit')), '../../../../apps/egretrilld/dist/egretrilld.mjs');

/** Starts daemons, which are assigned to three zones in turn. */
export async function startBenchFleet(hostCount: number): Promise<Fleet> {
	const zones = Array.from({length: hostCount}, (_, i) => BENCH_ZONES[i % BENCH_ZONES.length] ?? 'zone-a');
	return Fleet.start({
		fleet: 'local', zones, config: createLocalConfig(BENCH_ZONES), nodeArgs: [bundle],
	});
}

/** Starts a stand-in engine in a zone, with the model of the local configuration resident. */
export async function startBenchEngine(fleet: Fleet, zone: string, opts: Partial<EngineOptions> = {}): Promise<StandInEngine> {
	return new StandInEngine({
		targetId: `engine-${zone}`, zone, hosts: [...fleet.getTargetAddresses(zone)], resident: benchResidentModels, ...opts,
	}).start();
}
