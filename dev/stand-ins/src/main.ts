import process from 'node:process';
import {z} from 'zod';
import {StandInEngine} from './engine.js';
import {StandInService} from './service.js';
import {EngineOptions} from './types.js';

const Options = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('engine'), ...EngineOptions.partial().required({targetId: true, zone: true, hosts: true}).shape}),
	z.object({
		kind: z.literal('service'), targetId: z.string(), zone: z.string(), service: z.string(), hosts: z.array(z.string()),
	}),
]);

const options = Options.parse(JSON.parse(process.argv[2] ?? '{}'));
const target = options.kind === 'engine' ? new StandInEngine(options) : new StandInService(options);
// Writes to a pipe are synchronous on POSIX systems, so an event reaches the reader even if the process is killed right after it.
target.onEvent = event => {
	console.log(JSON.stringify(event));
};

await target.start();
console.log(JSON.stringify({address: target.address, startId: target.startId}));
