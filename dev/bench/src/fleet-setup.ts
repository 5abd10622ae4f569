import {createRequire} from 'node:module';
import path from 'node:path';
import {type EngineOptions, StandInEngine} from '@egretrill/stand-ins';
import {createLocalConfig, Fleet} from '@egretrill/testkit';

export const BENCH_ZONES = ['zone-a', 'zone-b', 'zone-c'];
export const benchResident = [{model: 'inscription', version: 'v1', adapters: ['plaque']}];

/** The daemon as `npm run build` leaves it for operators, in one file. */
const bundle = path.join(path.dirname(createRequire(import.meta.url).resolve('@egretrill/testkit')), '../../../../apps/egretrilld/dist/egretrilld.mjs');

/** Starts daemons in three zones, host by host in turn. */
export async function startBenchFleet(hostCount: number): Promise<Fleet> {
	const zones = Array.from({length: hostCount}, (_, i) => BENCH_ZONES[i % BENCH_ZONES.length] ?? 'zone-a');
	return Fleet.start({
		fleet: 'local', zones, config: createLocalConfig(BENCH_ZONES), nodeArgs: [bundle],
	});
}

/** Starts one stand-in engine of a zone with the model of the local configuration. */
export async function startBenchEngine(fleet: Fleet, zone: string, opts: Partial<EngineOptions> = {}): Promise<StandInEngine> {
	return new StandInEngine({
		targetId: `engine-${zone}`, zone, hosts: [...fleet.getTargetAddresses(zone)], resident: benchResident, ...opts,
	}).start();
}
